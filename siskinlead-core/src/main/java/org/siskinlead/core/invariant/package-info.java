/** Invariants that are checked in every run. A violation is counted, recorded on the timeline and, in tests, thrown. */
@NullMarked
package org.siskinlead.core.invariant;

import org.jspecify.annotations.NullMarked;
