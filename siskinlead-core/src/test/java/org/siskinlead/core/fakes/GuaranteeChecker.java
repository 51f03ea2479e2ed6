package org.siskinlead.core.fakes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.siskinlead.core.configuration.Parameter;
import org.siskinlead.core.configuration.TeamDocument;
import org.siskinlead.core.configuration.UpdateResult;
import org.siskinlead.core.serving.CompletionRequest;
import org.siskinlead.core.serving.CompletionSink;
import org.siskinlead.core.serving.Refusal;
import org.siskinlead.core.serving.RequestOutcome;
import org.siskinlead.core.serving.ServiceCall;
import org.siskinlead.core.serving.ServiceSink;

/** Sends requests and checks the guarantees from outside the nodes. */
public final class GuaranteeChecker {
    /** Time after its acceptance within which a revision must be in force on every active daemon. */
    public static final long IN_FORCE_WITHIN_MS = 4_000;

    /** Maximum time for which an admitted request runs: the longest deadline that the random runs set. */
    private static final long MAX_REQUEST_DURATION_MS = 8_000;

    private final TestBed bed;
    private final List<String> violations = new ArrayList<>();
    private final Map<String, SentRequest> requests = new LinkedHashMap<>();
    private final Map<Long, Long> acceptedAtByRevision = new LinkedHashMap<>();
    private final Map<Integer, UpdateResult.State> votes = new HashMap<>();
    private final Map<Integer, Long> limitLastSeenAt = new HashMap<>();
    private final Map<String, Long> highestRevisionByHost = new HashMap<>();
    private final Set<String> answersByKey = new HashSet<>();
    private final List<String> refusals = new ArrayList<>();
    private final Map<TestHost, Long> admittedCountByHost = new HashMap<>();
    private int limitAtLastCheck = Integer.MAX_VALUE;
    private long checkCount;
    private int requestNumber;

    private static final class SentRequest {
        private final TestHost host;
        private int endCount;
        private String outcome = "open";

        SentRequest(TestHost host) {
            this.host = host;
        }
    }

    GuaranteeChecker(TestBed bed) {
        this.bed = bed;
    }

    public List<String> violations() {
        List<String> all = new ArrayList<>(violations);
        all.addAll(bed.targets.violations);
        return all;
    }

    public List<String> refusals() {
        return refusals;
    }

    public long checkCount() {
        return checkCount;
    }

    public long countWithOutcome(String outcome) {
        return requests.values().stream().filter(s -> s.outcome.equals(outcome)).count();
    }

    public long requestCount() {
        return requests.size();
    }

    /** Sends a completion request, checks its tokens, and returns its identifier. */
    public String sendCompletion(TestHost host, String prompt, int tokens, long deadlineMillis) {
        String id = "r" + requestNumber++;
        SentRequest sent = new SentRequest(host);
        requests.put(id, sent);
        List<String> expected = FakeTargets.expectedTokens(prompt, tokens);
        CompletionSink sink = new CompletionSink() {
            private int next;

            @Override
            public void onToken(int position, String token) {
                check(position == next, id + " got position " + position + " instead of " + next);
                check(expected.get(position).equals(token), id + " got a wrong token at " + position);
                next++;
            }

            @Override
            public void onComplete() {
                check(next == tokens, id + " completed early, at position " + next);
                end(id, sent, "complete");
            }

            @Override
            public void onRefused(Refusal refusal) {
                end(id, sent, refusal.outcome().text());
                refusals.add(id + " " + refusal);
                if (refusal.outcome() == RequestOutcome.NOT_RUN) {
                    checkNotRun(id);
                }
            }

            @Override
            public boolean isCallerDisconnected() {
                return false;
            }
        };
        host.dispatch(() -> host.node()
                .serving()
                .serveCompletion(new CompletionRequest(id, TestBed.TEAM, "m", prompt, tokens, deadlineMillis), sink));
        return id;
    }

    /** Sends a booking, a call that may not be repeated, and returns its identifier. */
    public String sendBooking(TestHost host, String key) {
        String id = "r" + requestNumber++;
        SentRequest sent = new SentRequest(host);
        requests.put(id, sent);
        ServiceSink sink = new ServiceSink() {
            @Override
            public void onAnswer(int status, String body, boolean replayed) {
                end(id, sent, "complete");
                answersByKey.add(key + "=" + body);
                long answers = answersByKey.stream()
                        .filter(a -> a.startsWith(key + "="))
                        .count();
                check(answers == 1, "key " + key + " has different answers: " + answersByKey);
            }

            @Override
            public void onRefused(Refusal refusal) {
                end(id, sent, refusal.outcome().text());
                refusals.add(id + " " + refusal);
                if (refusal.outcome() == RequestOutcome.NOT_RUN) {
                    checkNotRun(id);
                    check(
                            key.isEmpty() || !bed.targets.executionsByKey.containsKey(TestBed.TEAM + "/" + key),
                            id + " was refused as not run but its key " + key + " has run");
                }
            }
        };
        host.dispatch(() -> host.node()
                .serving()
                .serveCall(new ServiceCall(id, TestBed.TEAM, "bookings", "book", key, "body of " + key), sink));
        return id;
    }

    public String outcome(String id) {
        return requests.get(id).outcome;
    }

    /** Checks the end of a run; all faults must have ended and all deadlines must have passed. */
    public void checkFinalState() {
        checkState();
        bed.targets.executionsByKey.forEach(
                (key, count) -> check(key.endsWith("/") || count <= 1, "key " + key + " ran " + count + " times"));
        requests.forEach((id, sent) -> {
            boolean mustHaveEnded = !sent.host.dead();
            check(
                    sent.endCount == 1 || (sent.endCount == 0 && !mustHaveEnded),
                    id + " ended " + sent.endCount + " times");
        });
        bed.targets.crashesByPrompt.forEach(
                (prompt, count) -> check(count <= 2, "\"" + prompt + "\" crashed " + count + " targets"));
        for (TestHost host : bed.hosts()) {
            check(host.node().membership().isActive(), host.vm() + " did not become active again");
        }
    }

    /** Checks the current state of all running nodes. */
    void checkState() {
        long now = bed.time.now();
        int running = 0;
        for (TestHost host : bed.hosts()) {
            if (!host.isRunning()) {
                continue;
            }
            if (!host.node().membership().leaseLossGraceExpired()) {
                running += host.node().limits().usedSlots(TestBed.TEAM);
            }
            checkConfiguration(host, now);
        }
        checkLimits(running, now);
    }

    /**
     * Checks the concurrency limit. Requests that run when the limit is lowered are not aborted, so more than the new
     * limit may run until they end, but no request may be admitted meanwhile.
     */
    private void checkLimits(int running, long now) {
        int limit = highestLimitSince(now - IN_FORCE_WITHIN_MS);
        int limitOfRunningRequests = highestLimitSince(now - IN_FORCE_WITHIN_MS - MAX_REQUEST_DURATION_MS);
        long admitted = admittedSinceLastCheck();
        check(
                running <= limit || admitted == 0 || limit < limitAtLastCheck,
                admitted + " requests were admitted and " + running + " run at " + now + " ms but the limit is "
                        + limit);
        check(
                running <= limitOfRunningRequests,
                running + " requests run at " + now + " but the highest limit of the last 12 s is "
                        + limitOfRunningRequests);
        limitAtLastCheck = limit;
    }

    private int highestLimitSince(long since) {
        return limitLastSeenAt.entrySet().stream()
                .filter(e -> e.getValue() >= since)
                .mapToInt(Map.Entry::getKey)
                .max()
                .orElse(Integer.MAX_VALUE);
    }

    private long admittedSinceLastCheck() {
        long sum = 0;
        for (TestHost host : bed.hosts()) {
            if (host.isRunning()) {
                long admitted = host.node().serving().counters().admitted();
                Long before = admittedCountByHost.put(host, admitted);
                sum += admitted - (before == null ? 0 : before);
            }
        }
        return sum;
    }

    /** Checks the configuration of one node. */
    public void checkConfigurationOf(TestHost host) {
        if (host.isRunning()) {
            checkConfiguration(host, bed.time.now());
        }
    }

    private void checkConfiguration(TestHost host, long now) {
        long revision = host.node().configuration().revision();
        String id = host.vm() + "@" + System.identityHashCode(host);
        check(
                revision >= highestRevisionByHost.getOrDefault(id, 0L),
                host.vm() + " returned to the earlier revision " + revision);
        highestRevisionByHost.put(id, revision);
        if (!host.node().membership().isActive()) {
            return;
        }
        acceptedAtByRevision.forEach((accepted, at) -> check(
                now - at < IN_FORCE_WITHIN_MS || revision >= accepted,
                host.vm() + " uses revision " + revision + " at " + now + " although " + accepted + " was accepted at "
                        + at));
        host.node().configuration().team(TestBed.TEAM).ifPresent(document -> checkLimitInForce(document, now));
    }

    private void checkLimitInForce(TeamDocument document, long now) {
        int limit = (int) document.value(Parameter.MAX_CONCURRENT, 0);
        limitLastSeenAt.put(limit, now);
        UpdateResult.State state = votes.get(limit);
        boolean reportedNotStored = state == UpdateResult.State.CONFLICT
                || state == UpdateResult.State.REJECTED
                || state == UpdateResult.State.UNAVAILABLE;
        check(!reportedNotStored, "limit " + limit + " is in force although its vote was answered " + state);
    }

    public boolean hasVote(int maxConcurrent) {
        return votes.containsKey(maxConcurrent);
    }

    /** Records a vote; each vote of a run must be for a different limit. */
    void onVote(int maxConcurrent) {
        check(!votes.containsKey(maxConcurrent), "limit " + maxConcurrent + " was voted for before");
        votes.put(maxConcurrent, UpdateResult.State.UNKNOWN);
    }

    void onVoteAnswer(int maxConcurrent, UpdateResult answer) {
        votes.put(maxConcurrent, answer.state());
        recordIfAccepted(answer);
    }

    void recordIfAccepted(UpdateResult answer) {
        if (answer.state() == UpdateResult.State.ACCEPTED) {
            acceptedAtByRevision.put(answer.revision(), bed.time.now());
        }
    }

    public long acceptedCount() {
        return acceptedAtByRevision.size();
    }

    private void end(String id, SentRequest sent, String outcome) {
        sent.endCount++;
        sent.outcome = outcome;
        check(sent.endCount == 1, id + " ended " + sent.endCount + " times");
    }

    private void checkNotRun(String id) {
        check(!bed.targets.executionsByRequest.containsKey(id), id + " was refused as not run but ran");
    }

    private void check(boolean holds, String message) {
        checkCount++;
        if (!holds) {
            violations.add(message);
        }
    }
}
