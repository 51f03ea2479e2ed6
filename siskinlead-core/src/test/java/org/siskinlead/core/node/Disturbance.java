package org.siskinlead.core.node;

import org.siskinlead.core.fakes.FakeTargets;
import org.siskinlead.core.fakes.TestBed;
import org.siskinlead.core.fakes.TestHost;

/**
 * Fault or change that is injected into a random run.
 * @param atMillis time at which it begins, in milliseconds after it was scheduled
 * @param kind kind of the fault or change
 * @param index selects the affected VM, engine or service, modulo their number
 * @param durationMillis time after which it ends, in milliseconds, for kinds that end before the run does
 */
record Disturbance(int atMillis, Kind kind, int index, int durationMillis) {
    enum Kind {
        KILL_DAEMON,
        FREEZE_DAEMON,
        DRAIN_DAEMON,
        PARTITION_DAEMONS,
        PARTITION_ONE_WAY,
        DISCONNECT_FROM_STORE,
        STORE_OUTAGE,
        STORE_SLOW,
        STORE_LOSES_ANSWERS,
        STORE_READS_STALE,
        MESSAGE_LOSS,
        KILL_ENGINE,
        FREEZE_ENGINE,
        LEAVING_ENGINE,
        MISMATCHED_ANSWERS,
        CRASHING_REQUEST,
        SERVICE_LOSES_ANSWERS,
        KILL_SERVICE,
        CONCURRENT_VOTES,
        LOWER_LIMIT
    }

    /** Schedules the beginning and end of the disturbance. */
    void schedule(TestBed bed, int number) {
        bed.time.after(atMillis, () -> begin(bed, number));
    }

    private void begin(TestBed bed, int number) {
        TestHost host = bed.host(index % 4);
        TestHost other = bed.host((index + 1) % 4);
        FakeTargets.Engine engine =
                bed.targets.engines().get(index % bed.targets.engines().size());
        switch (kind) {
            case KILL_DAEMON -> {
                host.kill();
                scheduleEnd(bed, () -> restart(bed, host));
            }
            case FREEZE_DAEMON -> {
                host.freeze();
                scheduleEnd(bed, host::thaw);
            }
            case DRAIN_DAEMON -> drain(bed, host);
            case PARTITION_DAEMONS -> {
                bed.blockMessages(host.vm(), other.vm());
                bed.blockMessages(other.vm(), host.vm());
            }
            case PARTITION_ONE_WAY -> bed.blockMessages(host.vm(), other.vm());
            case DISCONNECT_FROM_STORE -> bed.store.disconnect(host.vm());
            case STORE_OUTAGE -> {
                bed.store.outage = true;
                scheduleEnd(bed, () -> bed.store.outage = false);
            }
            case STORE_SLOW -> {
                bed.store.maxExtraDelayMillis = 1_500;
                scheduleEnd(bed, () -> bed.store.maxExtraDelayMillis = 0);
            }
            case STORE_LOSES_ANSWERS -> {
                bed.store.answerLossProbability = 0.4;
                scheduleEnd(bed, () -> bed.store.answerLossProbability = 0);
            }
            case STORE_READS_STALE -> {
                bed.store.staleReads = true;
                scheduleEnd(bed, () -> bed.store.staleReads = false);
            }
            case MESSAGE_LOSS -> {
                bed.messageLossProbability = 0.3;
                scheduleEnd(bed, () -> bed.messageLossProbability = 0.002);
            }
            case KILL_ENGINE -> {
                bed.targets.kill(engine);
                scheduleEnd(bed, () -> bed.targets.restart(engine));
            }
            case FREEZE_ENGINE -> {
                engine.frozen = true;
                scheduleEnd(bed, () -> bed.targets.thaw(engine));
            }
            case LEAVING_ENGINE -> engine.leaving = true;
            case MISMATCHED_ANSWERS -> bed.targets.mismatchedAnswerProbability = 0.05;
            case CRASHING_REQUEST -> sendCrashingRequest(bed, number);
            case SERVICE_LOSES_ANSWERS -> bed.targets.lostServiceAnswerProbability = 0.3;
            case KILL_SERVICE -> bed.targets.services().get(index % 2).dead = true;
            case CONCURRENT_VOTES -> {
                vote(bed, host, 20 + 2 * number);
                vote(bed, other, 21 + 2 * number);
            }
            case LOWER_LIMIT -> vote(bed, host, 2 + number % 10);
        }
    }

    private void scheduleEnd(TestBed bed, Runnable task) {
        bed.time.after(durationMillis, task);
    }

    private static void restart(TestBed bed, TestHost killed) {
        boolean notReplaced = bed.hosts().contains(killed);
        if (notReplaced) {
            bed.startHost(killed.vm());
        }
    }

    private static void drain(TestBed bed, TestHost host) {
        if (host.isRunning()) {
            host.node().drain(() -> {
                host.kill();
                bed.time.after(200, () -> restart(bed, host));
            });
        }
    }

    private static void vote(TestBed bed, TestHost host, int limit) {
        if (host.isRunning() && !bed.checker.hasVote(limit)) {
            bed.vote(host, limit, 1_000);
        }
    }

    /** Sends a request that crashes its targets through each daemon in turn, as a caller that retries would. */
    private void sendCrashingRequest(TestBed bed, int number) {
        String prompt = FakeTargets.CRASH_MARKER + number;
        for (int i = 0; i < 4; i++) {
            TestHost host = bed.host((index + i) % 4);
            bed.time.after(1_500L * i, () -> {
                if (host.isRunning()) {
                    bed.checker.sendCompletion(host, prompt, 3, 1_400);
                }
            });
        }
    }
}
