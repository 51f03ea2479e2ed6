package org.siskinlead.core.fakes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.forwarding.LinkFailure;
import org.siskinlead.core.forwarding.TargetLink;

/**
 * Targets behind a {@link FakeTargetLink} that answer correctly, or with a fault chosen at random for each request, and
 * record what they ran. A target with an outage does not respond, or breaks its connections, until the outage ends.
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

    /** Execution of one request by one target. */
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

    /** Starts an outage, during which a target breaks its connections or does not respond. */
    public void startOutage(String target, boolean breaksConnections, long durationMillis) {
        outageBreaksConnections.put(target, breaksConnections);
        link.healthByTarget.put(target, breaksConnections ? TargetLink.Health.CRASHED : TargetLink.Health.SILENT);
        timers.after(durationMillis, () -> {
            outageBreaksConnections.remove(target);
            link.healthByTarget.remove(target);
        });
    }

    /** Starts the requests that have reached the targets since the last call, and returns them. */
    public List<Execution> startReceived() {
        List<Execution> started = new ArrayList<>();
        while (startedCount < link.received.size()) {
            Execution execution = new Execution(link.received.get(startedCount++));
            executionsByRequest
                    .computeIfAbsent(execution.request.dispatch.request().id(), r -> new ArrayList<>())
                    .add(execution);
            started.add(execution);
            execution.ignoresCancellation = random.nextInt(4) == 0;
            boolean faulty = random.nextDouble() < faultProbability;
            run(execution, faulty ? Fault.values()[random.nextInt(Fault.values().length)] : null);
        }
        return started;
    }

    private void run(Execution execution, @Nullable Fault fault) {
        if (fault == Fault.REFUSES_CONNECTION) {
            execution.ran = false;
            continueAfter(execution, 2, () -> finish(execution, () -> execution.request.fail(LinkFailure.REFUSED)));
        } else if (fault == Fault.RESPONDS_NOT_RUN) {
            execution.ran = false;
            continueAfter(execution, 2, () -> finish(execution, () -> execution.request.respondNotRun(503)));
        } else if (fault == Fault.ANSWERS_WITHOUT_SEAL) {
            continueAfter(execution, ANSWER_DELAY_MS, () -> finish(execution, execution.request::respondWithoutSeal));
        } else if (fault == Fault.ANSWERS_ANOTHER_REQUEST) {
            continueAfter(
                    execution, ANSWER_DELAY_MS, () -> finish(execution, execution.request::respondForAnotherRequest));
        } else if (fault == Fault.RESPONDS_WITH_ERROR) {
            continueAfter(execution, ANSWER_DELAY_MS, () -> finish(execution, () -> execution.request.respond(500)));
        } else if (execution.request.dispatch.path() != null) {
            runStream(execution, fault);
        } else {
            runPlain(execution, fault);
        }
    }

    private void runPlain(Execution execution, @Nullable Fault fault) {
        if (fault == Fault.GOES_SILENT) {
            return;
        }
        if (fault == Fault.BREAKS_CONNECTION) {
            continueAfter(
                    execution,
                    ANSWER_DELAY_MS,
                    () -> finish(execution, () -> execution.request.fail(LinkFailure.BROKEN)));
            return;
        }
        long wait = fault == Fault.ANSWERS_SLOWLY ? SLOW_ANSWER_DELAY_MS : ANSWER_DELAY_MS;
        continueAfter(execution, wait, () -> finish(execution, () -> execution.request.respond(200)));
    }

    private void runStream(Execution execution, @Nullable Fault fault) {
        long first = execution.request.dispatch.lastEventId() + 1;
        long faultAt = first + random.nextInt(EVENTS_PER_STREAM);
        continueAfter(execution, FIRST_EVENT_DELAY_MS, () -> {
            execution.request.startStream();
            sendEvent(execution, first, fault, faultAt);
        });
    }

    private void sendEvent(Execution execution, long number, @Nullable Fault fault, long faultAt) {
        if (number > EVENTS_PER_STREAM) {
            finish(execution, execution.request::endStream);
            return;
        }
        boolean faultNow = fault != null && number == faultAt;
        if (faultNow && fault == Fault.BREAKS_CONNECTION) {
            finish(execution, () -> execution.request.fail(LinkFailure.BROKEN));
            return;
        }
        if (faultNow && fault == Fault.GOES_SILENT) {
            return;
        }
        if (faultNow && fault == Fault.ENDS_INSIDE_AN_EVENT) {
            execution.request.sendRaw("id: " + number + "\nda");
            finish(execution, execution.request::endStream);
            return;
        }
        // A stream without its last event looks complete to the forwarder, so the last event is never skipped.
        if (!faultNow || fault != Fault.SKIPS_AN_EVENT || number == EVENTS_PER_STREAM) {
            execution.request.sendEvents(number, number);
        }
        if (faultNow && fault == Fault.REPEATS_AN_EVENT) {
            execution.request.sendEvents(number, number);
        }
        continueAfter(execution, EVENT_INTERVAL_MS, () -> sendEvent(execution, number + 1, fault, faultAt));
    }

    /** Continues an execution after a delay unless it was cancelled or a target that it needs has an outage. */
    private void continueAfter(Execution execution, long millis, Runnable next) {
        timers.after(millis, () -> {
            if (execution.ended || (execution.request.cancelled && !execution.ignoresCancellation)) {
                return;
            }
            Boolean breaks = outageAffecting(execution);
            if (breaks == null) {
                next.run();
            } else if (breaks) {
                finish(execution, () -> execution.request.fail(LinkFailure.BROKEN));
            }
        });
    }

    private @Nullable Boolean outageAffecting(Execution execution) {
        if (execution.request.dispatch.path() == null) {
            return outageBreaksConnections.get(execution.target);
        }
        return outageBreaksConnections.entrySet().stream()
                .filter(s -> execution.request.dispatch.path().hops().stream()
                        .anyMatch(h -> h.target().entry().id().equals(s.getKey())))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElse(null);
    }

    private static void finish(Execution execution, Runnable last) {
        execution.ended = true;
        last.run();
    }
}
