package org.siskinlead.core.timeline;

import java.util.Map;

/**
 * Event on the timeline.
 * @param time hybrid time of the event
 * @param process name of the VM that recorded it
 * @param kind kind of the event
 * @param fields details such as request, team, target or revision
 */
public record TimelineEvent(HybridTime time, String process, EventKind kind, Map<String, String> fields) {}
