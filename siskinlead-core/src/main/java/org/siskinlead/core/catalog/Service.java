package org.siskinlead.core.catalog;

import org.jspecify.annotations.Nullable;

/**
 * Service that is provided by a group of targets.
 * @param name name under which targets register for it
 * @param healthPath path of the health check of its targets
 * @param maxConnections maximum number of connections to one target from all daemons together
 * @param engine parameters of its model engines, or null for a plain service
 */
public record Service(
        String name,
        String healthPath,
        int maxConnections,
        @Nullable EngineSpec engine) {}
