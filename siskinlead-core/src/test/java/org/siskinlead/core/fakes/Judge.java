package org.siskinlead.core.fakes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.siskinlead.core.configuration.Parameter;
import org.siskinlead.core.configuration.Publication;
import org.siskinlead.core.configuration.TeamDocument;
import org.siskinlead.core.serving.CompletionRequest;
import org.siskinlead.core.serving.CompletionSink;
import org.siskinlead.core.serving.Refusal;
import org.siskinlead.core.serving.RequestOutcome;
import org.siskinlead.core.serving.ServiceCall;
import org.siskinlead.core.serving.ServiceSink;

/** Sends requests and judges from outside whether the promises were kept. */
public final class Judge {
    /** Time after acceptance by which a revision must be in force everywhere. */
    public static final long IN_FORCE_MS = 4_000;

    /** Longest time that a request may run after it was admitted; the longest deadline that runs give. */
    private static final long LONGEST_RUN_MS = 8_000;

    private final TestBed bed;
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Sent> requests = new LinkedHashMap<>();
    private final Map<Long, Long> acceptedAt = new LinkedHashMap<>();
    private final Map<Integer, Publication.State> votes = new HashMap<>();
    private final Map<Integer, Long> limitSeenAt = new HashMap<>();
    private final Map<String, Long> highestRevision = new HashMap<>();
    private final Set<String> answersByKey = new HashSet<>();
    private final List<String> refusals = new ArrayList<>();
    private final Map<TestHost, Long> admittedBy = new HashMap<>();
    private int limitAtLastLook = Integer.MAX_VALUE;
    private long checks;
    private int requestNumber;

    private static final class Sent {
        private final TestHost host;
        private int ends;
        private String outcome = "open";

        Sent(TestHost host) {
            this.host = host;
        }
    }

    Judge(TestBed bed) {
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

    public long checks() {
        return checks;
    }

    public long ended(String outcome) {
        return requests.values().stream().filter(s -> s.outcome.equals(outcome)).count();
    }

    public long sent() {
        return requests.size();
    }

    /** Sends a completion and checks its answer. */
    public String complete(TestHost host, String prompt, int tokens, long deadlineMillis) {
        String id = "r" + requestNumber++;
        Sent sent = new Sent(host);
        requests.put(id, sent);
        List<String> expected = FakeTargets.answer(prompt, tokens);
        CompletionSink sink = new CompletionSink() {
            private int next;

            @Override
            public void onToken(int position, String token) {
                check(position == next, id + " got position " + position + " in place of " + next);
                check(expected.get(position).equals(token), id + " got a wrong token at " + position);
                next++;
            }

            @Override
            public void onComplete() {
                check(next == tokens, id + " was cut short at " + next);
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
            public boolean abandoned() {
                return false;
            }
        };
        host.enter(() -> host.node()
                .serving()
                .complete(new CompletionRequest(id, TestBed.TEAM, "m", prompt, tokens, deadlineMillis), sink));
        return id;
    }

    /** Sends a call that may not be repeated. */
    public String book(TestHost host, String key) {
        String id = "r" + requestNumber++;
        Sent sent = new Sent(host);
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
                            key.isEmpty() || !bed.targets.executions.containsKey(TestBed.TEAM + "/" + key),
                            id + " was refused as not run but its key " + key + " has run");
                }
            }
        };
        host.enter(() -> host.node()
                .serving()
                .call(new ServiceCall(id, TestBed.TEAM, "bookings", "book", key, "body of " + key), sink));
        return id;
    }

    public String outcome(String id) {
        return requests.get(id).outcome;
    }

    /** Checks at the end of a run, after all faults have healed and all deadlines have passed. */
    public void finish() {
        look();
        bed.targets.executions.forEach(
                (key, count) -> check(key.endsWith("/") || count <= 1, "key " + key + " ran " + count + " times"));
        requests.forEach((id, sent) -> {
            boolean mustHaveEnded = !sent.host.dead();
            check(sent.ends == 1 || (sent.ends == 0 && !mustHaveEnded), id + " ended " + sent.ends + " times");
        });
        bed.targets.crashes.forEach(
                (prompt, count) -> check(count <= 2, "\"" + prompt + "\" crashed " + count + " targets"));
        for (TestHost host : bed.hosts()) {
            check(host.node().membership().isActive(), host.vm() + " did not recover its standing");
        }
    }

    /** Looks at all nodes from outside. */
    void look() {
        long now = bed.time.now();
        int running = 0;
        for (TestHost host : bed.hosts()) {
            if (!host.awake()) {
                continue;
            }
            if (!host.node().membership().leaseLossGraceExpired()) {
                running += host.node().limits().usedSlots(TestBed.TEAM);
            }
            lookAtConfiguration(host, now);
        }
        lookAtLimits(running, now);
    }

    /**
     * Requests that run when a limit is lowered are not cut, so more may run for as long as a request may; but none is
     * admitted while that is so.
     */
    private void lookAtLimits(int running, long now) {
        int limit = highestLimitSince(now - IN_FORCE_MS);
        int limitOfAllThatRun = highestLimitSince(now - IN_FORCE_MS - LONGEST_RUN_MS);
        long admitted = admittedSinceLastLook();
        check(
                running <= limit || admitted == 0 || limit < limitAtLastLook,
                admitted + " requests were admitted and " + running + " run at " + now + " but the limit is " + limit);
        check(
                running <= limitOfAllThatRun,
                running + " requests run at " + now + " but the highest limit of the last 12 s is "
                        + limitOfAllThatRun);
        limitAtLastLook = limit;
    }

    private int highestLimitSince(long since) {
        return limitSeenAt.entrySet().stream()
                .filter(e -> e.getValue() >= since)
                .mapToInt(Map.Entry::getKey)
                .max()
                .orElse(Integer.MAX_VALUE);
    }

    private long admittedSinceLastLook() {
        long sum = 0;
        for (TestHost host : bed.hosts()) {
            if (host.awake()) {
                long admitted = host.node().serving().counters().admitted();
                Long before = admittedBy.put(host, admitted);
                sum += admitted - (before == null ? 0 : before);
            }
        }
        return sum;
    }

    /** Looks at the configuration of one node. */
    public void lookAt(TestHost host) {
        if (host.awake()) {
            lookAtConfiguration(host, bed.time.now());
        }
    }

    private void lookAtConfiguration(TestHost host, long now) {
        long revision = host.node().configuration().revision();
        String id = host.vm() + "@" + System.identityHashCode(host);
        check(revision >= highestRevision.getOrDefault(id, 0L), host.vm() + " went back to revision " + revision);
        highestRevision.put(id, revision);
        if (!host.node().membership().isActive()) {
            return;
        }
        acceptedAt.forEach((accepted, at) -> check(
                now - at < IN_FORCE_MS || revision >= accepted,
                host.vm() + " acts by revision " + revision + " at " + now + " though " + accepted + " was accepted at "
                        + at));
        host.node().configuration().team(TestBed.TEAM).ifPresent(document -> lookAtLimit(document, now));
    }

    private void lookAtLimit(TeamDocument document, long now) {
        int limit = (int) document.value(Parameter.MAX_CONCURRENT, 0);
        limitSeenAt.put(limit, now);
        Publication.State state = votes.get(limit);
        boolean saidNotStored = state == Publication.State.CONFLICT
                || state == Publication.State.REJECTED
                || state == Publication.State.UNAVAILABLE;
        check(!saidNotStored, "limit " + limit + " is in force though its vote was answered " + state);
    }

    public boolean votedBefore(int maxConcurrent) {
        return votes.containsKey(maxConcurrent);
    }

    /** Notes a vote; each vote of a run names another limit. */
    void onVote(int maxConcurrent) {
        check(!votes.containsKey(maxConcurrent), "limit " + maxConcurrent + " was voted before");
        votes.put(maxConcurrent, Publication.State.UNKNOWN);
    }

    void onVoteAnswer(int maxConcurrent, Publication answer) {
        votes.put(maxConcurrent, answer.state());
        onTemplateAnswer(answer);
    }

    void onTemplateAnswer(Publication answer) {
        if (answer.state() == Publication.State.ACCEPTED) {
            acceptedAt.put(answer.revision(), bed.time.now());
        }
    }

    public long accepted() {
        return acceptedAt.size();
    }

    private void end(String id, Sent sent, String outcome) {
        sent.ends++;
        sent.outcome = outcome;
        check(sent.ends == 1, id + " ended " + sent.ends + " times");
    }

    private void checkNotRun(String id) {
        check(!bed.targets.executionsByRequest.containsKey(id), id + " was refused as not run but ran");
    }

    private void check(boolean holds, String message) {
        checks++;
        if (!holds) {
            violations.add(message);
        }
    }
}
