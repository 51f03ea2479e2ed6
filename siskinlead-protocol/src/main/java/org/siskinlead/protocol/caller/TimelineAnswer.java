package org.siskinlead.protocol.caller;

import java.util.List;
import org.siskinlead.core.timeline.TimelineEvent;

/**
 * Recorded events of one daemon.
 * @param process name of its VM
 * @param dropped number of events discarded since the start because the buffer was full
 * @param events buffered events that match the query, oldest first
 */
public record TimelineAnswer(String process, long dropped, List<TimelineEvent> events) {}
