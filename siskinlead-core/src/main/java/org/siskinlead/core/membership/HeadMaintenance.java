package org.siskinlead.core.membership;

import java.util.List;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Maintains the head record while this daemon is the first live witness: removes silent members, makes new members
 * eligible as owners and clears what is no longer needed. Several daemons may consider themselves the first live
 * witness; compare-and-swap lets only one of their changes through at a time.
 */
final class HeadMaintenance {
    private final Membership membership;
    private final FailureDetector detector;
    private final Timeline timeline;
    private boolean changeInProgress;

    HeadMaintenance(Membership membership, FailureDetector detector, Timeline timeline) {
        this.membership = membership;
        this.detector = detector;
        this.timeline = timeline;
    }

    /** Starts at most one change of the head. */
    void run() {
        if (changeInProgress || !isFirstLiveWitness()) {
            return;
        }
        Head head = membership.head();
        for (Member member : head.members()) {
            if (!isSelf(member) && detector.isSilent(head, member.id())) {
                removeFailed(member.id());
                return;
            }
        }
        if (membership.isActive()) {
            cleanUp(head);
        }
    }

    private void cleanUp(Head head) {
        List<String> ended = head.removed().stream()
                .filter(id -> !membership.mayHaveRunningWork(id))
                .toList();
        boolean hasNewMembers = head.members().stream().anyMatch(m -> !m.mayOwn() && !m.draining());
        if (!head.previousWitnesses().isEmpty()) {
            change(h -> h.version() == head.version() ? h.withoutPreviousWitnesses() : null);
        } else if (!ended.isEmpty()) {
            change(h -> h.withoutEndedRemovals(ended));
        } else if (hasNewMembers && head.removed().isEmpty()) {
            change(h -> h.removed().isEmpty() ? h.withAllEligible() : null);
        }
    }

    private boolean isFirstLiveWitness() {
        Head head = membership.head();
        for (Member witness : head.witnesses()) {
            if (isSelf(witness)) {
                return true;
            }
            if (!detector.isSilent(head, witness.id())) {
                return false;
            }
        }
        return false;
    }

    private boolean isSelf(Member member) {
        return member.id().equals(membership.self().id());
    }

    private void removeFailed(String id) {
        changeInProgress = true;
        membership.change(h -> h.member(id).isPresent() ? h.withoutFailed(id) : null, outcome -> {
            changeInProgress = false;
            if (outcome == ChangeOutcome.STORED) {
                timeline.record(EventKind.MEMBER_REMOVED, "member", id);
            }
        });
    }

    private void change(Function<Head, @Nullable Head> next) {
        changeInProgress = true;
        membership.change(next, outcome -> changeInProgress = false);
    }
}
