/** Messages between daemons. Delivery is best-effort: any message may be lost, delayed, repeated or reordered. */
@NullMarked
package org.siskinlead.core.peer;

import org.jspecify.annotations.NullMarked;
