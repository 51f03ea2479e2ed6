package org.siskinlead.core.forwarding;

import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The run of a stream's current attempt, and an earlier one whose target is silent. That one is kept until the current
 * run writes, because a sound target may be silent for a second and a cancelled run cannot be had back.
 */
final class StreamRuns {
    private @Nullable StreamRun current;
    private @Nullable StreamRun silent;

    // Queries

    /** Gets the run of an attempt that has not ended. */
    StreamRun of(Attempt attempt) {
        return isSilent(attempt) ? Objects.requireNonNull(silent) : Objects.requireNonNull(current);
    }

    boolean hasSilent() {
        return silent != null;
    }

    boolean isSilent(Attempt attempt) {
        return silent != null && silent.attempt() == attempt;
    }

    /** Gets the target instance to which the silent run was sent, if there is one. */
    Set<String> silentInstance() {
        return silent == null
                ? Set.of()
                : Set.of(silent.attempt().target().entry().instanceId());
    }

    // Commands

    void begin(Attempt attempt) {
        current = StreamRun.of(attempt);
    }

    /** Keeps the current run as the silent one, without its memory. */
    void keepAsSilent() {
        silent = current;
        if (silent != null) {
            silent.attempt().releaseMemory();
        }
    }

    /** Makes the silent run the current one again; returns its attempt. */
    Attempt continueSilent() {
        StreamRun kept = Objects.requireNonNull(silent);
        silent = null;
        current = kept;
        kept.attempt().reserveMemory();
        return kept.attempt();
    }

    /** Forgets the silent run, which has failed. */
    void forgetSilent() {
        silent = null;
    }

    void cancelSilent() {
        StreamRun kept = silent;
        if (kept != null) {
            silent = null;
            kept.attempt().cancel();
        }
    }

    /** Cancels the silent run if it uses a target instance, which has ended. */
    void cancelSilentOn(String instanceId) {
        if (silent != null && silent.attempt().usesInstance(instanceId)) {
            cancelSilent();
        }
    }
}
