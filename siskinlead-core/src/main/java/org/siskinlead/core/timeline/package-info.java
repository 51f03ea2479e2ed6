/**
 * Typed events of one daemon, timestamped by a hybrid logical clock and kept in a bounded buffer. Recording never
 * blocks and never fails a request.
 */
@NullMarked
package org.siskinlead.core.timeline;

import org.jspecify.annotations.NullMarked;
