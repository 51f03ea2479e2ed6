package org.siskinlead.core.peer;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.configuration.TeamDocument;
import org.siskinlead.core.idempotency.ClaimVerdict;
import org.siskinlead.core.idempotency.KeyRecord;
import org.siskinlead.core.membership.Head;

/** Everything daemons say to each other. */
public sealed interface PeerMessage {
    /**
     * Asks a witness to vouch for a head version.
     * @param from identity of the sender
     * @param replyTo peer address of the sender
     * @param headVersion version the sender knows
     * @param sequence number that the answer repeats
     * @param heard members that the sender has lately heard from as their relay
     */
    record Heartbeat(String from, String replyTo, long headVersion, long sequence, List<String> heard)
            implements PeerMessage {}

    /**
     * Passes on a relay's own standing.
     * @param headVersion version that the relay knows
     * @param sequence number of the heartbeat answered
     * @param remainingMillis for how long the relay is in standing, in milliseconds
     * @param accepted whether the relay knows this version to be accepted
     */
    record RelayedVouch(long headVersion, long sequence, long remainingMillis, boolean accepted)
            implements PeerMessage {}

    /**
     * Vouches that the witness knows no later head and has its configuration.
     * @param witness identity of the witness
     * @param headVersion version vouched for
     * @param sequence number of the heartbeat answered
     */
    record Vouch(String witness, long headVersion, long sequence) implements PeerMessage {}

    /**
     * Hands over a later head.
     * @param head the head
     */
    record HeadUpdate(Head head) implements PeerMessage {}

    /**
     * Asks for a later head.
     * @param replyTo peer address of the sender
     */
    record HeadRequest(String replyTo) implements PeerMessage {}

    /**
     * Asks for a configuration document.
     * @param replyTo peer address of the sender
     * @param key key of the document
     */
    record DocumentRequest(String replyTo, String key) implements PeerMessage {}

    /**
     * Hands over a configuration document.
     * @param key key of the document
     * @param teams teams in it
     */
    record DocumentReply(String key, Map<String, TeamDocument> teams) implements PeerMessage {}

    /**
     * Tells the owners of limits what this daemon holds in a new epoch.
     * @param from identity of the sender
     * @param epoch epoch installed
     * @param held slots held, by team, of the teams whose owner is the receiver
     */
    record Holdings(String from, long epoch, Map<String, Integer> held) implements PeerMessage {}

    /**
     * Tells an owner what this daemon holds and wants of a team's limit.
     * @param from identity of the sender
     * @param replyTo peer address of the sender
     * @param epoch epoch in which it is said
     * @param team the team
     * @param ledger epoch in which the owner opened the ledger that allotted last
     * @param sequence sequence number of the last allotment applied
     * @param held slots the sender keeps within
     * @param used slots in use
     * @param wanted slots wanted beyond those held
     * @param tokensWanted requests it wants to start
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
     * @param epoch epoch in which it holds
     * @param team the team
     * @param ledger epoch in which the owner opened its ledger; sequence and total start anew with each ledger
     * @param sequence grows with each allotment to the same daemon
     * @param slots slots the receiver may keep within
     * @param tokensTotal requests the receiver may have started since the owner began
     */
    record Allotment(long epoch, String team, long ledger, long sequence, int slots, long tokensTotal)
            implements PeerMessage {}

    /**
     * Carries an allotment from its owner through the owner's deputy.
     * @param holder identity of the daemon that it is for
     * @param number grows with each allotment of the same ledger
     * @param allotment the allotment
     * @param charges what each holder counts for in the owner's ledger
     */
    record AllotmentRelay(String holder, long number, Allotment allotment, Map<String, Integer> charges)
            implements PeerMessage {}

    /**
     * Copies ledgers to the deputy of their owner.
     * @param from identity of the owner
     * @param epoch epoch in which they hold
     * @param ledgers all ledgers whose deputy is the receiver
     */
    record LedgerCopies(String from, long epoch, List<LedgerCopy> ledgers) implements PeerMessage {}

    /**
     * What an owner has lent of a team's limit.
     * @param team the team
     * @param charges what each holder counts for
     */
    record LedgerCopy(String team, Map<String, Integer> charges) {}

    /**
     * Asks a member what it holds in an epoch, and for its copies.
     * @param from identity of the sender
     * @param epoch the epoch
     */
    record HoldingsRequest(String from, long epoch) implements PeerMessage {}

    /**
     * Asks the recorder of a key for leave to send its call.
     * @param replyTo peer address of the sender
     * @param claim identifier of the claim
     * @param owner identity of the claiming daemon
     * @param key scoped key
     * @param fingerprint fingerprint of the request's body
     */
    record ClaimRequest(String replyTo, String claim, String owner, String key, String fingerprint)
            implements PeerMessage {}

    /**
     * Answers a claim.
     * @param claim identifier of the claim
     * @param verdict whether the call may be sent
     * @param record what is recorded under the key, where there is something
     */
    record ClaimReply(
            String claim, ClaimVerdict verdict, @Nullable KeyRecord record) implements PeerMessage {}

    /**
     * Asks the owner of a claim what became of it.
     * @param key scoped key
     * @param record the claim as recorded
     */
    record ClaimQuery(String key, KeyRecord record) implements PeerMessage {}

    /**
     * Reports how a claimed call ended.
     * @param replyTo peer address of the sender
     * @param key scoped key
     * @param record the final record
     */
    record ClaimResult(String replyTo, String key, KeyRecord record) implements PeerMessage {}

    /**
     * Confirms that a result has been recorded.
     * @param key scoped key
     * @param claim identifier of the claim
     */
    record ClaimResultStored(String key, String claim) implements PeerMessage {}

    /**
     * Reports a request that was running on a target when the target died.
     * @param reporter identity of the daemon that saw it
     * @param fingerprint fingerprint of the request
     * @param target identity of the dead target
     */
    record CrashSuspect(String reporter, String fingerprint, String target) implements PeerMessage {}

    /**
     * Reports a request that was running on a target when the target stopped answering.
     * @param fingerprint fingerprint of the request
     * @param target identity of the target
     */
    record CrashExposure(String fingerprint, String target) implements PeerMessage {}

    /**
     * Tells that a suspect is on trial on a target.
     * @param fingerprint fingerprint of the request
     * @param target name of the target's VM
     * @param lastsMillis for how long the target's death is put down to the suspect, in milliseconds
     */
    record CrashTrial(String fingerprint, String target, long lastsMillis) implements PeerMessage {}

    /**
     * Clears a suspect that ran again without harm.
     * @param fingerprint fingerprint of the request
     */
    record CrashCleared(String fingerprint) implements PeerMessage {}

    /**
     * Confirms a crash report.
     * @param from identity of the sender
     * @param fingerprint fingerprint of the request
     * @param target identity of the dead target
     * @param elsewhere identities of the targets on which other daemons run the request, or ran it when they were lost
     */
    record CrashSuspectStored(String from, String fingerprint, String target, List<String> elsewhere)
            implements PeerMessage {}

    /**
     * Tells the keeper of a daemon's traces on which targets a request begins to run, before it is sent to them.
     * @param from identity of the sender
     * @param request identifier of the request
     * @param fingerprint fingerprint of the request
     * @param targets identities of the targets; they replace those told before
     */
    record CrashTrace(String from, String request, String fingerprint, List<String> targets) implements PeerMessage {}

    /**
     * Tells the keeper of a daemon's traces that requests have ended.
     * @param from identity of the sender
     * @param requests identifiers of the requests
     */
    record CrashTracesEnded(String from, List<String> requests) implements PeerMessage {}
}
