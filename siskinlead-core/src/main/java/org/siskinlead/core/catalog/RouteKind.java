package org.siskinlead.core.catalog;

/** Retry and response type of the requests of a route. */
public enum RouteKind {
    /** Requests may be executed more than once. */
    SAFE,
    /** Requests must be executed at most once. */
    UNSAFE,
    /** Requests are answered by a stream of events. */
    STREAM
}
