package org.siskinlead.core.fakes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.forwarding.LinkFailure;
import org.siskinlead.core.forwarding.TargetLink;

/**
 * Targets behind a {@link FakeTargetLink} that answer well, or with a fault drawn for each request, and remember what they ran.
 * A target that is struck answers nothing, or breaks its connections, for a while.
 */
public final class FaultyTargets {
    public static final int EVENTS_PER_STREAM = 12;

    private static final long FIRST_EVENT_DELAY_MS = 50;
    private static final long EVENT_INTERVAL_MS = 40;
    private static final long ANSWER_DELAY_MS = 30;
    private static final long SLOW_ANSWER_DELAY_MS = 500;

    private final FakeTargetLink link;
    private final ManualTimers timers;
    private final Random random;
    private final double faultProbability;
    private final Map<String, Boolean> outageBreaksConnections = new HashMap<>();
    private final Set<String> targetsWithOutage = new HashSet<>();
    private final Map<String, List<Execution>> executionsByRequest = new HashMap<>();
    private int startedCount;

    private enum Fault {
        BREAKS_CONNECTION,
        GOES_SILENT,
        SKIPS_AN_EVENT,
        REPEATS_AN_EVENT,
        ENDS_INSIDE_AN_EVENT,
        RESPONDS_NOT_RUN,
        REFUSES_CONNECTION,
        RESPONDS_WITH_ERROR,
        ANSWERS_WITHOUT_SEAL,
        ANSWERS_SLOWLY,
        ANSWERS_ANOTHER_REQUEST
    }

    /** One request at one target. */
    public static final class Execution {
        public final FakeTargetLink.ReceivedRequest request;
        public final String target;
        public boolean ran = true;
        public boolean ended;
        private boolean ignoresCancellation;

        Execution(FakeTargetLink.ReceivedRequest request) {
            this.request = request;
            this.target = request.dispatch.target().id();
        }
    }

    public FaultyTargets(FakeTargetLink link, ManualTimers timers, Random random, double faultProbability) {
        this.link = link;
        this.timers = timers;
        this.random = random;
        this.faultProbability = faultProbability;
    }

    public List<Execution> executionsOf(String request) {
        return executionsByRequest.getOrDefault(request, List.of());
    }

    public boolean hadOutage(String target) {
        return targetsWithOutage.contains(target);
    }

    /** Strikes a target for a while: it breaks its connections, or goes silent. */
    public void startOutage(String target, boolean breaks, long forMillis) {
        outageBreaksConnections.put(target, breaks);
        targetsWithOutage.add(target);
        link.healthByTarget.put(target, breaks ? TargetLink.Health.CRASHED : TargetLink.Health.SILENT);
        timers.after(forMillis, () -> {
            outageBreaksConnections.remove(target);
            link.healthByTarget.remove(target);
        });
    }

    /** Lets the targets begin what has reached them since the last call; returns it. */
    public List<Execution> startReceived() {
        List<Execution> started = new ArrayList<>();
        while (startedCount < link.received.size()) {
            Execution work = new Execution(link.received.get(startedCount++));
            executionsByRequest
                    .computeIfAbsent(work.request.dispatch.request().id(), r -> new ArrayList<>())
                    .add(work);
            started.add(work);
            work.ignoresCancellation = random.nextInt(4) == 0;
            boolean faulty = random.nextDouble() < faultProbability;
            run(work, faulty ? Fault.values()[random.nextInt(Fault.values().length)] : null);
        }
        return started;
    }

    private void run(Execution work, @Nullable Fault fault) {
        if (fault == Fault.REFUSES_CONNECTION) {
            work.ran = false;
            continueAfter(work, 2, () -> finish(work, () -> work.request.fail(LinkFailure.REFUSED)));
        } else if (fault == Fault.RESPONDS_NOT_RUN) {
            work.ran = false;
            continueAfter(work, 2, () -> finish(work, () -> work.request.respondNotRun(503)));
        } else if (fault == Fault.ANSWERS_WITHOUT_SEAL) {
            continueAfter(work, ANSWER_DELAY_MS, () -> finish(work, work.request::respondWithoutSeal));
        } else if (fault == Fault.ANSWERS_ANOTHER_REQUEST) {
            continueAfter(work, ANSWER_DELAY_MS, () -> finish(work, work.request::respondForAnotherRequest));
        } else if (fault == Fault.RESPONDS_WITH_ERROR) {
            continueAfter(work, ANSWER_DELAY_MS, () -> finish(work, () -> work.request.respond(500)));
        } else if (work.request.dispatch.path() != null) {
            runStream(work, fault);
        } else {
            runPlain(work, fault);
        }
    }

    private void runPlain(Execution work, @Nullable Fault fault) {
        if (fault == Fault.GOES_SILENT) {
            return;
        }
        if (fault == Fault.BREAKS_CONNECTION) {
            continueAfter(work, ANSWER_DELAY_MS, () -> finish(work, () -> work.request.fail(LinkFailure.BROKEN)));
            return;
        }
        long wait = fault == Fault.ANSWERS_SLOWLY ? SLOW_ANSWER_DELAY_MS : ANSWER_DELAY_MS;
        continueAfter(work, wait, () -> finish(work, () -> work.request.respond(200)));
    }

    private void runStream(Execution work, @Nullable Fault fault) {
        long first = work.request.dispatch.lastEvent() + 1;
        long faultAt = first + random.nextInt(EVENTS_PER_STREAM);
        continueAfter(work, FIRST_EVENT_DELAY_MS, () -> {
            work.request.startStream();
            sendEvent(work, first, fault, faultAt);
        });
    }

    private void sendEvent(Execution work, long number, @Nullable Fault fault, long faultAt) {
        if (number > EVENTS_PER_STREAM) {
            finish(work, work.request::endStream);
            return;
        }
        boolean faultNow = fault != null && number == faultAt;
        if (faultNow && fault == Fault.BREAKS_CONNECTION) {
            finish(work, () -> work.request.fail(LinkFailure.BROKEN));
            return;
        }
        if (faultNow && fault == Fault.GOES_SILENT) {
            return;
        }
        if (faultNow && fault == Fault.ENDS_INSIDE_AN_EVENT) {
            work.request.sendRaw("id: " + number + "\nda");
            finish(work, work.request::endStream);
            return;
        }
        // Nothing tells a stream without its last event from a whole one, so the last one is not skipped.
        if (!faultNow || fault != Fault.SKIPS_AN_EVENT || number == EVENTS_PER_STREAM) {
            work.request.sendEvents(number, number);
        }
        if (faultNow && fault == Fault.REPEATS_AN_EVENT) {
            work.request.sendEvents(number, number);
        }
        continueAfter(work, EVENT_INTERVAL_MS, () -> sendEvent(work, number + 1, fault, faultAt));
    }

    /** Goes on with work unless it was cancelled or a target that it needs is struck. */
    private void continueAfter(Execution work, long millis, Runnable next) {
        timers.after(millis, () -> {
            if (work.ended || (work.request.cancelled && !work.ignoresCancellation)) {
                return;
            }
            Boolean breaks = outageAffecting(work);
            if (breaks == null) {
                next.run();
            } else if (breaks) {
                finish(work, () -> work.request.fail(LinkFailure.BROKEN));
            }
        });
    }

    private @Nullable Boolean outageAffecting(Execution work) {
        if (work.request.dispatch.path() == null) {
            return outageBreaksConnections.get(work.target);
        }
        return outageBreaksConnections.entrySet().stream()
                .filter(s -> work.request.dispatch.path().hops().stream()
                        .anyMatch(h -> h.target().entry().id().equals(s.getKey())))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElse(null);
    }

    private static void finish(Execution work, Runnable last) {
        work.ended = true;
        last.run();
    }
}
