package org.siskinlead.protocol.http;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Connections that peers have opened, within a number of sockets. To make room for one more, the connection is closed that
 * has been for longest in the first state of {@link State} in which there is any; one whose request is being answered is
 * never closed. Used by several network threads.
 */
public final class OpenConnections {
    /** States of a connection, in the order in which connections are closed to make room. */
    enum State {
        /** The first header section has begun to arrive and is not complete. */
        UNFINISHED,
        /** The last request was refused for a fault of its own. */
        REFUSED,
        /** Nothing has arrived yet; the first request may be on its way. */
        SILENT,
        /** A request is arriving, on a connection that has completed a header section. */
        ARRIVING,
        /** The last request was answered. */
        IDLE,
        /** A request has arrived whole and is being answered, which takes a connection to a target too. */
        ANSWERING
    }

    private static final int SOCKETS_OF_ANSWERING = 2;

    private final int maxSockets;
    private final Map<State, Set<Channel>> connections = new EnumMap<>(State.class);
    private int sockets;

    private OpenConnections(int maxSockets) {
        this.maxSockets = maxSockets;
        for (State state : State.values()) {
            connections.put(state, new LinkedHashSet<>());
        }
    }

    /**
     * Creates an empty set.
     * @param maxSockets sockets that the connections, and those to targets for their requests, may use
     * @return the set
     */
    public static OpenConnections of(int maxSockets) {
        return new OpenConnections(maxSockets);
    }

    // Queries

    /**
     * Gets the bound.
     * @return sockets of connections and of those to targets for their requests
     */
    public int maxSockets() {
        return maxSockets;
    }

    /**
     * Counts the open connections.
     * @return connections now
     */
    public synchronized int count() {
        return sockets - in(State.ANSWERING).size() * (SOCKETS_OF_ANSWERING - 1);
    }

    // Commands

    /**
     * Admits a connection.
     * @param connection new connection
     * @return the connections to close: others, or this one if the requests of all others are being answered
     */
    public synchronized List<Channel> admit(Channel connection) {
        if (sockets >= maxSockets && isEachAnswering()) {
            return List.of(connection);
        }
        in(State.SILENT).add(connection);
        sockets++;
        return makeRoom(connection);
    }

    /**
     * Forgets a connection that is closed, or whose peer is known from now on.
     * @param connection the connection
     */
    public synchronized void remove(Channel connection) {
        for (State state : State.values()) {
            if (in(state).remove(connection)) {
                sockets -= socketsOf(state);
            }
        }
    }

    /** Records that a request begins to arrive. A refused connection keeps its rank until a header section is complete. */
    synchronized void onNextRequest(Channel connection) {
        if (in(State.IDLE).contains(connection)) {
            move(connection, State.ARRIVING);
        } else if (in(State.SILENT).contains(connection)) {
            move(connection, State.UNFINISHED);
        }
    }

    /** Records that a header section is complete. */
    synchronized void onHead(Channel connection) {
        move(connection, State.ARRIVING);
    }

    /**
     * Records that a request has arrived whole.
     * @return the connections to close
     */
    synchronized List<Channel> onAnswering(Channel connection) {
        return move(connection, State.ANSWERING) ? makeRoom(connection) : List.of();
    }

    /** Records that a connection awaits the next request. */
    synchronized void onAnswered(Channel connection, boolean wasRefused) {
        move(connection, wasRefused ? State.REFUSED : State.IDLE);
    }

    /** Moves a connection, unless it was closed to make room; returns whether it did. */
    private boolean move(Channel connection, State to) {
        for (State from : State.values()) {
            if (in(from).remove(connection)) {
                in(to).add(connection);
                sockets += socketsOf(to) - socketsOf(from);
                return true;
            }
        }
        return false;
    }

    private List<Channel> makeRoom(Channel spared) {
        if (sockets <= maxSockets) {
            return List.of();
        }
        List<Channel> closed = new ArrayList<>();
        for (State state : State.values()) {
            Iterator<Channel> candidates = in(state).iterator();
            while (state != State.ANSWERING && sockets > maxSockets && candidates.hasNext()) {
                Channel candidate = candidates.next();
                if (candidate != spared) {
                    candidates.remove();
                    sockets--;
                    closed.add(candidate);
                }
            }
        }
        return closed;
    }

    private boolean isEachAnswering() {
        return in(State.ANSWERING).size() * SOCKETS_OF_ANSWERING == sockets;
    }

    private static int socketsOf(State state) {
        return state == State.ANSWERING ? SOCKETS_OF_ANSWERING : 1;
    }

    private Set<Channel> in(State state) {
        return connections.getOrDefault(state, Set.of());
    }
}
