package org.siskinlead.core.peer;

/** Sends messages to other daemons on a best-effort basis; any message may be lost, delayed, repeated or reordered. */
public interface Peers {
    /**
     * Sends a message without waiting for its delivery.
     * @param address IP address and port of the other daemon
     * @param message message to send
     */
    void send(String address, PeerMessage message);
}
