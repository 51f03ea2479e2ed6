package org.siskinlead.protocol.http;

import java.util.concurrent.atomic.AtomicInteger;

/** Counts the connections of a server that must not be closed yet when it drains. */
final class ConnectionCounts {
    /** Connections on which a request has begun to arrive and is not yet answered. */
    final AtomicInteger busy = new AtomicInteger();
    /** Connections on which nothing has arrived yet; their first request may be on its way. */
    final AtomicInteger unused = new AtomicInteger();
}
