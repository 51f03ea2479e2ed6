package org.siskinlead.core.catalog;

import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Team whose callers authenticate with API keys.
 * @param name name of the team
 * @param keys API keys of its callers
 * @param priority priority that overrides the one of the route, or null to use that of the route
 */
public record Team(String name, Set<String> keys, @Nullable Integer priority) {}
