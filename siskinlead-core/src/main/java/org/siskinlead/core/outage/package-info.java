/** Decides when the store is taken to be away. Without I/O, clock or thread; never decides what follows from an outage. */
@NullMarked
package org.siskinlead.core.outage;

import org.jspecify.annotations.NullMarked;
