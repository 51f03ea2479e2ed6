package org.siskinlead.protocol.http;

import io.netty.channel.Channel;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Connections that peers have opened, up to a maximum. To admit one more, the one is closed that has been idle for
 * longest; if none is idle, the one whose incomplete request began to arrive first. A connection whose request is being
 * answered is never closed. Used by several network threads.
 */
public final class OpenConnections {
    private final int max;
    private final Set<Channel> idle = new LinkedHashSet<>();
    private final Set<Channel> arriving = new LinkedHashSet<>();
    private final Set<Channel> answering = new HashSet<>();

    private OpenConnections(int max) {
        this.max = max;
    }

    /**
     * Creates an empty set.
     * @param max connections at most
     * @return the set
     */
    public static OpenConnections of(int max) {
        return new OpenConnections(max);
    }

    /**
     * Gets the maximum.
     * @return connections
     */
    public int max() {
        return max;
    }

    /**
     * Counts the open connections.
     * @return connections now
     */
    public synchronized int count() {
        return idle.size() + arriving.size() + answering.size();
    }

    /**
     * Admits a connection, which is idle.
     * @param connection new connection
     * @return the connection to close: another one, or this one if all others are in use; null if there is room
     */
    public synchronized @Nullable Channel admit(Channel connection) {
        Channel evicted = null;
        if (count() >= max) {
            evicted = idle.isEmpty() ? removeFirst(arriving) : removeFirst(idle);
            if (evicted == null) {
                return connection;
            }
        }
        idle.add(connection);
        return evicted;
    }

    /**
     * Forgets a connection that is closed, or whose peer is known from now on.
     * @param connection the connection
     */
    public synchronized void remove(Channel connection) {
        if (!idle.remove(connection) && !arriving.remove(connection)) {
            answering.remove(connection);
        }
    }

    /** Records that a connection awaits a request. */
    synchronized void onIdle(Channel connection) {
        if (arriving.remove(connection) || answering.remove(connection)) {
            idle.add(connection);
        }
    }

    /** Records that a request has begun to arrive. */
    synchronized void onArriving(Channel connection) {
        if (idle.remove(connection)) {
            arriving.add(connection);
        }
    }

    /** Records that a request has arrived whole. */
    synchronized void onAnswering(Channel connection) {
        if (idle.remove(connection) || arriving.remove(connection)) {
            answering.add(connection);
        }
    }

    private static @Nullable Channel removeFirst(Set<Channel> connections) {
        Iterator<Channel> all = connections.iterator();
        if (!all.hasNext()) {
            return null;
        }
        Channel first = all.next();
        all.remove();
        return first;
    }
}
