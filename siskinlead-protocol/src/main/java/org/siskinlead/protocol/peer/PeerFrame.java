package org.siskinlead.protocol.peer;

import org.siskinlead.core.peer.PeerMessage;
import org.siskinlead.core.timeline.HybridTime;

/**
 * Message between daemons with its key and send time.
 * @param key secret that all daemons share
 * @param time reading of the sender's hybrid logical clock
 */
public record PeerFrame(String key, HybridTime time, PeerMessage message) {}
