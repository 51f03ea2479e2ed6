/**
 * Interfaces to the platform: the key-value service, the lease store and the list of VMs. Any answer may be late, lost
 * or stale; only a successful compare-and-swap proves that a value was current.
 */
@NullMarked
package org.siskinlead.core.platform;

import org.jspecify.annotations.NullMarked;
