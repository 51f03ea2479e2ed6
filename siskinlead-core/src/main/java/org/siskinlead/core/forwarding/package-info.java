/**
 * Forwards callers' requests to targets, each with exactly one outcome. A request is refused as "not run" only when no
 * target can have started to execute it.
 */
@NullMarked
package org.siskinlead.core.forwarding;

import org.jspecify.annotations.NullMarked;
