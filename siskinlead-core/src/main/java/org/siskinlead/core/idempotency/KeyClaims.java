package org.siskinlead.core.idempotency;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.membership.Membership;
import org.siskinlead.core.peer.PeerMessage;
import org.siskinlead.core.peer.Peers;
import org.siskinlead.core.time.Timers;

/**
 * Claims keys for calls that this daemon wants to send, and reports how the calls ended. A claim that was given up but
 * recorded all the same is reported as not run when its recorder asks, so that the key is free again.
 */
public final class KeyClaims {
    private static final long CLAIM_RESEND_INTERVAL_MS = 150;
    private static final long CLAIM_TIMEOUT_MS = 1_500;
    private static final long RESULT_RESEND_INTERVAL_MS = 300;

    private final Membership membership;
    private final Peers peers;
    private final Timers timers;
    private final Supplier<String> claimIds;
    private final Map<String, Claim> pendingClaims = new HashMap<>();
    private final Set<String> grantedClaims = new HashSet<>();
    private final Map<String, PeerMessage.ClaimResult> unstoredResults = new HashMap<>();

    private KeyClaims(Membership membership, Peers peers, Timers timers, Supplier<String> claimIds) {
        this.membership = membership;
        this.peers = peers;
        this.timers = timers;
        this.claimIds = claimIds;
    }

    /**
     * Creates the claims of a daemon.
     * @param membership tells who records which shard
     * @param peers way to the recorders
     * @param timers time
     * @param claimIds source of identifiers of claims
     * @return the claims
     */
    public static KeyClaims of(Membership membership, Peers peers, Timers timers, Supplier<String> claimIds) {
        KeyClaims claims = new KeyClaims(membership, peers, timers, claimIds);
        timers.every(RESULT_RESEND_INTERVAL_MS, claims::resendResults);
        return claims;
    }

    /**
     * Tells whether results wait to be recorded.
     * @return true while a result is not known to be stored
     */
    public boolean hasUnstoredResults() {
        return !unstoredResults.isEmpty();
    }

    /**
     * Claims a key.
     * @param key scoped key
     * @param fingerprint fingerprint of the call
     * @param onVerdict receives the verdict once, with the record where there is one
     */
    public void claim(String key, String fingerprint, BiConsumer<ClaimVerdict, @Nullable KeyRecord> onVerdict) {
        Claim claim = new Claim(claimIds.get(), key, fingerprint, onVerdict, timers.nowMillis() + CLAIM_TIMEOUT_MS);
        pendingClaims.put(claim.id, claim);
        sendClaim(claim);
    }

    /**
     * Reports how a claimed call ended; resent until it is recorded.
     * @param key scoped key
     * @param record the final record
     */
    public void reportResult(String key, KeyRecord record) {
        PeerMessage.ClaimResult result =
                new PeerMessage.ClaimResult(membership.self().peerAddress(), key, record);
        grantedClaims.remove(record.claim());
        unstoredResults.put(record.claim(), result);
        sendToRecorder(key, result);
    }

    /**
     * Takes a recorder's answer.
     * @param reply the answer
     */
    public void onReply(PeerMessage.ClaimReply reply) {
        Claim claim = pendingClaims.remove(reply.claim());
        if (claim != null) {
            if (reply.verdict() == ClaimVerdict.SEND) {
                grantedClaims.add(claim.id);
            }
            claim.onVerdict.accept(reply.verdict(), reply.record());
        }
    }

    /**
     * Answers a recorder that asks about a claim of this daemon.
     * @param query the question
     */
    public void onQuery(PeerMessage.ClaimQuery query) {
        boolean ownedHere = query.record().owner().equals(membership.self().id());
        if (ownedHere) {
            releaseIfAbandoned(query.key(), query.record());
        }
    }

    /** Frees the key of a claim that is neither wanted, nor being sent, nor waiting for its result to be stored. */
    private void releaseIfAbandoned(String key, KeyRecord record) {
        String claim = record.claim();
        if (!pendingClaims.containsKey(claim)
                && !grantedClaims.contains(claim)
                && !unstoredResults.containsKey(claim)) {
            reportResult(key, record.withResult(KeyRecord.State.NOT_RUN, 0, ""));
        }
    }

    /**
     * Takes a confirmation that a result is recorded.
     * @param stored the confirmation
     */
    public void onResultStored(PeerMessage.ClaimResultStored stored) {
        unstoredResults.remove(stored.claim());
    }

    private void sendClaim(Claim claim) {
        if (!pendingClaims.containsKey(claim.id)) {
            return;
        }
        if (timers.nowMillis() >= claim.deadlineMillis) {
            pendingClaims.remove(claim.id);
            claim.onVerdict.accept(ClaimVerdict.UNAVAILABLE, null);
            return;
        }
        String self = membership.self().peerAddress();
        sendToRecorder(
                claim.key,
                new PeerMessage.ClaimRequest(self, claim.id, membership.self().id(), claim.key, claim.fingerprint));
        timers.after(CLAIM_RESEND_INTERVAL_MS, () -> sendClaim(claim));
    }

    private void resendResults() {
        unstoredResults.values().forEach(result -> sendToRecorder(result.key(), result));
    }

    private void sendToRecorder(String key, PeerMessage message) {
        KeyShards.recorderOf(membership.head(), KeyShards.shardOf(key))
                .ifPresent(m -> peers.send(m.peerAddress(), message));
    }

    private static final class Claim {
        private final String id;
        private final String key;
        private final String fingerprint;
        private final BiConsumer<ClaimVerdict, @Nullable KeyRecord> onVerdict;
        private final long deadlineMillis;

        Claim(
                String id,
                String key,
                String fingerprint,
                BiConsumer<ClaimVerdict, @Nullable KeyRecord> onVerdict,
                long deadlineMillis) {
            this.id = id;
            this.key = key;
            this.fingerprint = fingerprint;
            this.onVerdict = onVerdict;
            this.deadlineMillis = deadlineMillis;
        }
    }
}
