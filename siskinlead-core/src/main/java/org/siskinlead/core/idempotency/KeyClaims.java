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
 * Claims idempotency keys before their calls are sent, and reports the results of the calls. A claim may be recorded
 * after this daemon timed out waiting for it; when the recorder asks about such a claim, it is reported as not run so
 * that the key is released.
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
     * Creates the claims of a daemon and starts resending unconfirmed results.
     * @param membership identifies the recorder of each shard
     * @param peers sends messages to the recorders
     * @param timers clock and timers of the decision thread
     * @param claimIds supplies unique identifiers of claims
     * @return the claims, initially none
     */
    public static KeyClaims of(Membership membership, Peers peers, Timers timers, Supplier<String> claimIds) {
        KeyClaims claims = new KeyClaims(membership, peers, timers, claimIds);
        timers.every(RESULT_RESEND_INTERVAL_MS, claims::resendResults);
        return claims;
    }

    /**
     * Tells whether any result is not yet confirmed as recorded.
     * @return true while a result is being resent
     */
    public boolean hasUnstoredResults() {
        return !unstoredResults.isEmpty();
    }

    /**
     * Claims a key; the verdict is {@link ClaimVerdict#UNAVAILABLE} when the recorder does not answer in time.
     * @param key key with its scope, the team
     * @param fingerprint fingerprint of the call
     * @param onVerdict receives the verdict once, with the record if there is one
     */
    public void claim(String key, String fingerprint, BiConsumer<ClaimVerdict, @Nullable KeyRecord> onVerdict) {
        Claim claim = new Claim(claimIds.get(), key, fingerprint, onVerdict, timers.nowMillis() + CLAIM_TIMEOUT_MS);
        pendingClaims.put(claim.id, claim);
        sendClaim(claim);
    }

    /**
     * Reports the result of a claimed call, and resends it until the recorder confirms it.
     * @param key key with its scope, the team
     * @param record the claim's record in its final state
     */
    public void reportResult(String key, KeyRecord record) {
        PeerMessage.ClaimResult result =
                new PeerMessage.ClaimResult(membership.self().peerAddress(), key, record);
        grantedClaims.remove(record.claim());
        unstoredResults.put(record.claim(), result);
        sendToRecorder(key, result);
    }

    /**
     * Handles a recorder's reply to a claim; ignores it when the claim has timed out.
     * @param reply the recorder's decision
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
     * Handles a recorder's query about a claim of this daemon.
     * @param query the key and the claim as recorded
     */
    public void onQuery(PeerMessage.ClaimQuery query) {
        boolean ownedHere = query.record().owner().equals(membership.self().id());
        if (ownedHere) {
            releaseIfAbandoned(query.key(), query.record());
        }
    }

    /** Releases the key of a claim that is neither pending nor granted and has no unconfirmed result. */
    private void releaseIfAbandoned(String key, KeyRecord record) {
        String claim = record.claim();
        if (!pendingClaims.containsKey(claim)
                && !grantedClaims.contains(claim)
                && !unstoredResults.containsKey(claim)) {
            reportResult(key, record.withResult(KeyRecord.State.NOT_RUN, 0, ""));
        }
    }

    /**
     * Handles the confirmation that a result is recorded.
     * @param stored names the claim whose result is recorded
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
