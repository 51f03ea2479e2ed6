package org.siskinlead.core.timeline;

/** Kinds of events on the timeline. */
public enum EventKind {
    REQUEST_ADMITTED,
    REQUEST_REFUSED,
    REQUEST_QUEUED,
    REQUEST_SENT,
    REQUEST_RETRIED,
    REQUEST_RESUMED,
    REQUEST_ENDED,
    /** A request that was passed on to a target ended without a complete answer to its caller. */
    REQUEST_CUT,
    /** Claims from the pool of the retry budget in one window, recorded at its end. */
    RETRY_CHUNKS_CLAIMED,
    /** A target did not answer, or was found down, and receives no requests until it recovers. */
    TARGET_SUSPECTED,
    TARGET_RECOVERED,
    /** A target turned a request away and asked not to be sent any for a time. */
    TARGET_BACKOFF,
    /** A target named a limit on the rate of its requests, changed it or named it no more. */
    TARGET_RATE_LIMIT,
    TARGET_SLOW,
    /** A target that started or recovered gets few requests at first. */
    TARGET_PACE_BEGUN,
    /** The pace of a target limits this daemon no more. */
    TARGET_PACE_ENDED,
    /** Targets refused requests for lack of capacity; a level of requests is sent in limited number from now on. */
    SEND_WINDOW_CUT,
    /** No target has refused requests for lack of capacity for some time; requests are not limited any more. */
    SEND_WINDOW_REMOVED,
    /** An engine holds the layers that it was ordered to load. */
    TARGET_PLACED,
    TARGET_LEFT,
    TARGET_JOINED,
    HEAD_INSTALLED,
    CONFIGURATION_PROPOSED,
    CONFIGURATION_ACCEPTED,
    CONFIGURATION_IN_FORCE,
    /** The store holds an older configuration than the one in force, as after it was restored; it is not put in force. */
    CONFIGURATION_OLDER,
    /** The daemon became active: it is a member, has loaded its configuration and holds a quorum lease. */
    STANDING_GAINED,
    /** The daemon is no longer active. */
    STANDING_LOST,
    MEMBER_JOINED,
    MEMBER_REMOVED,
    /** The owner of a team's limit sent a daemon an allotment. */
    LIMIT_MOVED,
    KEY_CLAIMED,
    /** The result of a claimed call was recorded. */
    KEY_RESOLVED,
    CRASH_SUSPECT_REPORTED,
    /** The traits of requests changed that are not sent because they crash targets. */
    PROMPT_PARTS_BLOCKED,
    /** A blocked request is to be sent once, to find a part that is blocked by mistake. */
    PROMPT_PART_TRIED,
    /** A placement order was sent to an engine. */
    ORDER_GIVEN,
    /** An engine refused a placement order, or its answer was lost. */
    ORDER_REFUSED,
    PLAN_MADE,
    LEASE_OPENED,
    LEASE_LOST,
    STORE_LOST,
    STORE_REGAINED,
    STARTED,
    SETTINGS_RELOADED,
    DRAIN_BEGUN,
    DRAIN_DONE,
    /** The server for callers has closed its listening socket and is about to exit. */
    CONNECTIONS_DRAINED,
    /** Limits on what clients may send and hold refused requests or closed connections in the last second. */
    INPUT_LIMITED,
    INVARIANT_VIOLATED
}
