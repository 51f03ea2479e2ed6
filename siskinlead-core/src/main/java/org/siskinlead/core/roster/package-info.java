/** Leases in the platform's store that register the daemons and elect the one that issues orders. */
@NullMarked
package org.siskinlead.core.roster;

import org.jspecify.annotations.NullMarked;
