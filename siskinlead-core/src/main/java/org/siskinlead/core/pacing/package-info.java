/**
 * Slow start of targets that start or recover. Each daemon decides by itself which of its requests such a target may get,
 * so that all daemons together send it few at first and, as long as it answers in time, twice as many after each usual
 * answer time.
 */
@NullMarked
package org.siskinlead.core.pacing;

import org.jspecify.annotations.NullMarked;
