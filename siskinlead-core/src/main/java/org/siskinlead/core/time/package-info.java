/**
 * Clocks and timers that the host provides. The core uses no other source of time, so tests can run it in virtual time.
 */
@NullMarked
package org.siskinlead.core.time;

import org.jspecify.annotations.NullMarked;
