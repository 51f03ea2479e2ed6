/**
 * Age of the last confirmation by the platform's store. A process that was suspended or whose clock jumped has no proof
 * until the store answers again.
 */
@NullMarked
package org.siskinlead.core.freshness;

import org.jspecify.annotations.NullMarked;
