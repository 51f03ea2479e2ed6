/** The decision thread, fed by a Disruptor ring buffer, and its timers. */
@NullMarked
package org.siskinlead.daemon.loop;

import org.jspecify.annotations.NullMarked;
