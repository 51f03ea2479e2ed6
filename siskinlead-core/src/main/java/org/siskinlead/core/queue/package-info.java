/**
 * Bounded queues ordered by priority. Waiting raises the rank, so that no request starves, and no wait exceeds its
 * maximum.
 */
@NullMarked
package org.siskinlead.core.queue;

import org.jspecify.annotations.NullMarked;
