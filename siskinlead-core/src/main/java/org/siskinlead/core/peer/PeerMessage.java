package org.siskinlead.core.peer;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.configuration.TeamDocument;
import org.siskinlead.core.idempotency.ClaimVerdict;
import org.siskinlead.core.idempotency.KeyRecord;
import org.siskinlead.core.membership.Head;

/** Messages between daemons; their simple names and components are the wire format. */
public sealed interface PeerMessage {
    /**
     * Asks a witness or a relay to confirm a head version, which extends the sender's quorum lease.
     * @param from identity of the sender
     * @param replyTo peer address of the sender
     * @param headVersion version of the sender's head
     * @param sequence sequence number that the answer repeats
     * @param heard identities of the members that the sender, as their relay, has recently received heartbeats from
     */
    record Heartbeat(String from, String replyTo, long headVersion, long sequence, List<String> heard)
            implements PeerMessage {}

    /**
     * Answers a heartbeat with the relay's remaining quorum lease, which the receiver may use as its own.
     * @param headVersion version of the relay's head
     * @param sequence sequence number of the heartbeat answered
     * @param remainingMillis remaining time of the relay's quorum lease, in milliseconds
     * @param accepted whether the relay knows that this head is accepted
     */
    record RelayedVouch(long headVersion, long sequence, long remainingMillis, boolean accepted)
            implements PeerMessage {}

    /**
     * Confirms that the witness knows no later head and has loaded the configuration that the head names.
     * @param witness identity of the witness
     * @param headVersion version of the witness's head
     * @param sequence sequence number of the heartbeat answered
     */
    record Vouch(String witness, long headVersion, long sequence) implements PeerMessage {}

    /**
     * Sends a head that the receiver may not know yet.
     * @param head the sender's latest head
     */
    record HeadUpdate(Head head) implements PeerMessage {}

    /**
     * Requests the receiver's latest head.
     * @param replyTo peer address of the sender
     */
    record HeadRequest(String replyTo) implements PeerMessage {}

    /**
     * Requests a configuration document.
     * @param replyTo peer address of the sender
     * @param key key of the document in the key-value service
     */
    record DocumentRequest(String replyTo, String key) implements PeerMessage {}

    /**
     * Sends a configuration document.
     * @param key key of the document in the key-value service
     * @param teams documents of its teams, by team name
     */
    record DocumentReply(String key, Map<String, TeamDocument> teams) implements PeerMessage {}

    /**
     * Reports the slots that the sender holds in a new epoch to an owner of limits.
     * @param from identity of the sender
     * @param epoch epoch of the sender's head
     * @param held slots held by the sender, by team, for the teams whose limit the receiver owns
     */
    record Holdings(String from, long epoch, Map<String, Integer> held) implements PeerMessage {}

    /**
     * Reports the sender's use of a team's limit to the limit's owner and asks for more.
     * @param from identity of the sender
     * @param replyTo peer address of the sender
     * @param epoch epoch of the sender's head
     * @param team name of the team
     * @param ledger epoch in which the owner opened the ledger of the last allotment applied
     * @param sequence sequence number of the last allotment applied
     * @param held number of slots that the sender limits itself to
     * @param used number of slots in use
     * @param wanted number of slots requested in addition to those held
     * @param tokensWanted number of requests that the sender wants to start
     */
    record LimitDemand(
            String from,
            String replyTo,
            long epoch,
            String team,
            long ledger,
            long sequence,
            int held,
            int used,
            int wanted,
            int tokensWanted)
            implements PeerMessage {}

    /**
     * Allots part of a team's limit.
     * @param epoch epoch in which the allotment is valid
     * @param team name of the team
     * @param ledger epoch in which the owner opened its ledger; sequence and total restart with each ledger
     * @param sequence sequence number, increasing with each allotment to the same daemon
     * @param slots number of slots that the receiver may use
     * @param tokensTotal number of requests that the receiver may have started since the ledger was opened
     * @param limit limit of the team within which the owner allotted the slots; 0 from daemons of earlier versions
     */
    record Allotment(long epoch, String team, long ledger, long sequence, int slots, long tokensTotal, int limit)
            implements PeerMessage {}

    /**
     * Sends an allotment through the backup of the limit's owner, which forwards it to the holder.
     * @param holder identity of the daemon that receives the allotment
     * @param number sequence number, increasing with each allotment of the same ledger
     * @param allotment allotment to forward
     * @param charges slots charged to each holder in the owner's ledger, this allotment included
     */
    record AllotmentRelay(String holder, long number, Allotment allotment, Map<String, Integer> charges)
            implements PeerMessage {}

    /**
     * Copies ledgers to the backup of their owner.
     * @param from identity of the owner
     * @param epoch epoch in which the ledgers are valid
     * @param ledgers all ledgers of the owner whose backup is the receiver
     */
    record LedgerCopies(String from, long epoch, List<LedgerCopy> ledgers) implements PeerMessage {}

    /**
     * Describes how an owner has allotted a team's limit.
     * @param team name of the team
     * @param charges slots charged to each holder, by identity
     */
    record LedgerCopy(String team, Map<String, Integer> charges) {}

    /**
     * Asks a member for the slots that it holds, and for copies of its ledgers whose backup is the sender.
     * @param from identity of the sender
     * @param epoch epoch that the request is about
     */
    record HoldingsRequest(String from, long epoch) implements PeerMessage {}

    /**
     * Asks the recorder of a key for permission to send the key's call.
     * @param replyTo peer address of the sender
     * @param claim identifier of the claim
     * @param owner identity of the claiming daemon
     * @param key key with its scope, the team
     * @param fingerprint fingerprint of the call
     */
    record ClaimRequest(String replyTo, String claim, String owner, String key, String fingerprint)
            implements PeerMessage {}

    /**
     * Answers a claim.
     * @param claim identifier of the claim
     * @param verdict whether the call may be sent
     * @param record record of the key; null when it is not part of the answer
     */
    record ClaimReply(
            String claim, ClaimVerdict verdict, @Nullable KeyRecord record) implements PeerMessage {}

    /**
     * Asks the owner of a claim whether it still intends to send the call.
     * @param key key with its scope, the team
     * @param record the claim as recorded
     */
    record ClaimQuery(String key, KeyRecord record) implements PeerMessage {}

    /**
     * Reports the result of a claimed call.
     * @param replyTo peer address of the sender
     * @param key key with its scope, the team
     * @param record the claim's record in its final state
     */
    record ClaimResult(String replyTo, String key, KeyRecord record) implements PeerMessage {}

    /**
     * Confirms that a result has been recorded.
     * @param key key with its scope, the team
     * @param claim identifier of the claim
     */
    record ClaimResultStored(String key, String claim) implements PeerMessage {}

    /**
     * Reports a request that was running on a target when the target crashed.
     * @param reporter identity of the daemon that noticed the crash
     * @param fingerprint fingerprint of the request
     * @param target identity of the crashed target
     */
    record CrashSuspect(String reporter, String fingerprint, String target) implements PeerMessage {}

    /**
     * Reports a request that was running on a target when the target stopped answering.
     * @param fingerprint fingerprint of the request
     * @param target identity of the target
     */
    record CrashExposure(String fingerprint, String target) implements PeerMessage {}

    /**
     * Announces that a suspected request is being tried on a target, to see whether it crashes the target.
     * @param fingerprint fingerprint of the request
     * @param target name of the target's VM
     * @param lastsMillis time for which a crash of the target is attributed to the request, in milliseconds
     */
    record CrashTrial(String fingerprint, String target, long lastsMillis) implements PeerMessage {}

    /**
     * Clears a suspected request that ran again without a crash.
     * @param fingerprint fingerprint of the request
     */
    record CrashCleared(String fingerprint) implements PeerMessage {}

    /**
     * Confirms a crash report.
     * @param from identity of the sender
     * @param fingerprint fingerprint of the request
     * @param target identity of the crashed target
     * @param elsewhere identities of the targets on which other daemons run the request, or ran it when contact with
     *     them was lost
     */
    record CrashSuspectStored(String from, String fingerprint, String target, List<String> elsewhere)
            implements PeerMessage {}

    /**
     * Stores with the sender's backup on which targets a request is about to run. Sent before the request, so that a
     * daemon that crashes together with a target leaves a trace.
     * @param from identity of the sender
     * @param request identifier of the request
     * @param fingerprint fingerprint of the request
     * @param targets identities of the targets, replacing those sent earlier for the request
     */
    record CrashTrace(String from, String request, String fingerprint, List<String> targets) implements PeerMessage {}

    /**
     * Removes the traces of ended requests from the sender's backup.
     * @param from identity of the sender
     * @param requests identifiers of the ended requests
     */
    record CrashTracesEnded(String from, List<String> requests) implements PeerMessage {}
}
