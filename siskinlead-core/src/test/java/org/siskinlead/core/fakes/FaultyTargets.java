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
 * Targets behind a {@link FakeLink} that answer well, or with a fault drawn for each request, and remember what they ran.
 * A target that is struck answers nothing, or breaks its connections, for a while.
 */
public final class FaultyTargets {
    public static final int EVENTS = 12;

    private static final long FIRST_EVENT_MS = 50;
    private static final long BETWEEN_EVENTS_MS = 40;
    private static final long PLAIN_ANSWER_MS = 30;
    private static final long SLOW_ANSWER_MS = 500;

    private final FakeLink link;
    private final ManualTimers timers;
    private final Random random;
    private final double faultShare;
    private final Map<String, Boolean> struck = new HashMap<>();
    private final Set<String> everStruck = new HashSet<>();
    private final Map<String, List<Work>> workOf = new HashMap<>();
    private int seen;

    private enum Fault {
        BREAKS,
        GOES_SILENT,
        SKIPS_AN_EVENT,
        REPEATS_AN_EVENT,
        ENDS_INSIDE_AN_EVENT,
        REFUSES,
        CANNOT_BE_REACHED,
        FAILS,
        ANSWERS_WITHOUT_SEAL,
        ANSWERS_SLOWLY,
        ANSWERS_ANOTHER_REQUEST
    }

    /** One request at one target. */
    public static final class Work {
        public final FakeLink.Sent sent;
        public final String target;
        public boolean ran = true;
        public boolean ended;
        private boolean goesOnWhenCancelled;

        Work(FakeLink.Sent sent) {
            this.sent = sent;
            this.target = sent.dispatch.target().id();
        }
    }

    public FaultyTargets(FakeLink link, ManualTimers timers, Random random, double faultShare) {
        this.link = link;
        this.timers = timers;
        this.random = random;
        this.faultShare = faultShare;
    }

    public List<Work> workOf(String request) {
        return workOf.getOrDefault(request, List.of());
    }

    public boolean wasEverStruck(String target) {
        return everStruck.contains(target);
    }

    /** Strikes a target for a while: it breaks its connections, or goes silent. */
    public void strike(String target, boolean breaks, long forMillis) {
        struck.put(target, breaks);
        everStruck.add(target);
        link.health.put(target, breaks ? TargetLink.Health.CRASHED : TargetLink.Health.SILENT);
        timers.after(forMillis, () -> {
            struck.remove(target);
            link.health.remove(target);
        });
    }

    /** Lets the targets begin what has reached them since the last call; returns it. */
    public List<Work> begin() {
        List<Work> begun = new ArrayList<>();
        while (seen < link.sent.size()) {
            Work work = new Work(link.sent.get(seen++));
            workOf.computeIfAbsent(work.sent.dispatch.request().id(), r -> new ArrayList<>())
                    .add(work);
            begun.add(work);
            work.goesOnWhenCancelled = random.nextInt(4) == 0;
            boolean faulty = random.nextDouble() < faultShare;
            run(work, faulty ? Fault.values()[random.nextInt(Fault.values().length)] : null);
        }
        return begun;
    }

    private void run(Work work, @Nullable Fault fault) {
        if (fault == Fault.CANNOT_BE_REACHED) {
            work.ran = false;
            after(work, 2, () -> end(work, () -> work.sent.fail(LinkFailure.REFUSED)));
        } else if (fault == Fault.REFUSES) {
            work.ran = false;
            after(work, 2, () -> end(work, () -> work.sent.refuseAsNotRun(503)));
        } else if (fault == Fault.ANSWERS_WITHOUT_SEAL) {
            after(work, PLAIN_ANSWER_MS, () -> end(work, work.sent::succeedWithoutSeal));
        } else if (fault == Fault.ANSWERS_ANOTHER_REQUEST) {
            after(work, PLAIN_ANSWER_MS, () -> end(work, work.sent::succeedForAnotherRequest));
        } else if (fault == Fault.FAILS) {
            after(work, PLAIN_ANSWER_MS, () -> end(work, () -> work.sent.answer(500)));
        } else if (work.sent.dispatch.path() != null) {
            stream(work, fault);
        } else {
            plain(work, fault);
        }
    }

    private void plain(Work work, @Nullable Fault fault) {
        if (fault == Fault.GOES_SILENT) {
            return;
        }
        if (fault == Fault.BREAKS) {
            after(work, PLAIN_ANSWER_MS, () -> end(work, () -> work.sent.fail(LinkFailure.BROKEN)));
            return;
        }
        long wait = fault == Fault.ANSWERS_SLOWLY ? SLOW_ANSWER_MS : PLAIN_ANSWER_MS;
        after(work, wait, () -> end(work, () -> work.sent.answer(200)));
    }

    private void stream(Work work, @Nullable Fault fault) {
        long first = work.sent.dispatch.lastEventId() + 1;
        long faultAt = first + random.nextInt(EVENTS);
        after(work, FIRST_EVENT_MS, () -> {
            work.sent.begin();
            event(work, first, fault, faultAt);
        });
    }

    private void event(Work work, long number, @Nullable Fault fault, long faultAt) {
        if (number > EVENTS) {
            end(work, work.sent::end);
            return;
        }
        boolean faultNow = fault != null && number == faultAt;
        if (faultNow && fault == Fault.BREAKS) {
            end(work, () -> work.sent.fail(LinkFailure.BROKEN));
            return;
        }
        if (faultNow && fault == Fault.GOES_SILENT) {
            return;
        }
        if (faultNow && fault == Fault.ENDS_INSIDE_AN_EVENT) {
            work.sent.raw("id: " + number + "\nda");
            end(work, work.sent::end);
            return;
        }
        // Nothing tells a stream without its last event from a whole one, so the last one is not skipped.
        if (!faultNow || fault != Fault.SKIPS_AN_EVENT || number == EVENTS) {
            work.sent.events(number, number);
        }
        if (faultNow && fault == Fault.REPEATS_AN_EVENT) {
            work.sent.events(number, number);
        }
        after(work, BETWEEN_EVENTS_MS, () -> event(work, number + 1, fault, faultAt));
    }

    /** Goes on with work unless it was cancelled or a target that it needs is struck. */
    private void after(Work work, long millis, Runnable next) {
        timers.after(millis, () -> {
            if (work.ended || (work.sent.cancelled && !work.goesOnWhenCancelled)) {
                return;
            }
            Boolean breaks = strikeOn(work);
            if (breaks == null) {
                next.run();
            } else if (breaks) {
                end(work, () -> work.sent.fail(LinkFailure.BROKEN));
            }
        });
    }

    private @Nullable Boolean strikeOn(Work work) {
        if (work.sent.dispatch.path() == null) {
            return struck.get(work.target);
        }
        return struck.entrySet().stream()
                .filter(s -> work.sent.dispatch.path().hops().stream()
                        .anyMatch(h -> h.target().entry().id().equals(s.getKey())))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElse(null);
    }

    private static void end(Work work, Runnable last) {
        work.ended = true;
        last.run();
    }
}
