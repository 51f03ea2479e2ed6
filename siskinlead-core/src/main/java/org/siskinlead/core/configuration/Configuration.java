package org.siskinlead.core.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.configuration.ConfigurationException.Code;
import org.siskinlead.core.configuration.Publication.State;
import org.siskinlead.core.membership.ChangeOutcome;
import org.siskinlead.core.membership.Head;
import org.siskinlead.core.membership.Member;
import org.siskinlead.core.membership.Membership;
import org.siskinlead.core.peer.PeerMessage;
import org.siskinlead.core.peer.Peers;
import org.siskinlead.core.platform.KeyValueStore;
import org.siskinlead.core.platform.WriteOutcome;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Holds the templates in force and publishes changes. A change is accepted once the head that names it is stored and a
 * majority of the witnesses has it; a daemon that does not know it loses its standing within the freshness period.
 */
public final class Configuration {
    private static final long ACCEPT_TIMEOUT_MS = 4_000;
    private static final long POLL_MS = 20;
    private static final long FETCH_RETRY_MS = 250;
    private static final String KEY_PREFIX = "config/";

    private final Membership membership;
    private final KeyValueStore store;
    private final Peers peers;
    private final Timers timers;
    private final Timeline timeline;
    private final Supplier<String> marks;
    private final Map<String, Loaded> loaded = new HashMap<>();
    private final Map<String, String> teamOfCredential = new HashMap<>();
    private final Map<String, Bucket> writtenHere = new HashMap<>();
    private final Set<String> fetching = new HashSet<>();
    private final List<Runnable> inForceListeners = new ArrayList<>();
    private long revisionInForce;
    private int fetches;

    private record Loaded(String key, Bucket bucket) {}

    private Configuration(
            Membership membership,
            KeyValueStore store,
            Peers peers,
            Timers timers,
            Timeline timeline,
            Supplier<String> marks) {
        this.membership = membership;
        this.store = store;
        this.peers = peers;
        this.timers = timers;
        this.timeline = timeline;
        this.marks = marks;
    }

    /**
     * Creates the configuration of a daemon and ties it to its membership.
     * @param membership source of heads
     * @param store the platform's key-value service
     * @param peers way to other daemons
     * @param timers time
     * @param timeline where events go
     * @param marks source of identifiers for writes
     * @return the configuration
     */
    public static Configuration of(
            Membership membership,
            KeyValueStore store,
            Peers peers,
            Timers timers,
            Timeline timeline,
            Supplier<String> marks) {
        Configuration configuration = new Configuration(membership, store, peers, timers, timeline, marks);
        membership.setConfigurationLoadedCheck(configuration::loaded);
        membership.onHead(configuration::onHead);
        return configuration;
    }

    // Queries

    /**
     * Tells whether all documents of the latest head are here.
     * @return true when the revision of the head is in force on this daemon
     */
    public boolean loaded() {
        return revisionInForce == membership.head().revision();
    }

    /**
     * Gets the revision in force on this daemon.
     * @return the configuration revision
     */
    public long revision() {
        return revisionInForce;
    }

    /**
     * Finds a team.
     * @param team name of the team
     * @return its document, if any
     */
    public Optional<TeamDocument> team(String team) {
        return bucket(Bucket.of(team)).team(team);
    }

    /**
     * Finds the team with a credential.
     * @param credentialSha256 hash of the credential in hexadecimal
     * @return its document, if any
     */
    public Optional<TeamDocument> teamByCredential(String credentialSha256) {
        return Optional.ofNullable(teamOfCredential.get(credentialSha256)).flatMap(this::team);
    }

    /**
     * Lists the teams.
     * @return documents of all teams
     */
    public List<TeamDocument> teams() {
        return loaded.values().stream()
                .flatMap(l -> l.bucket().teams().values().stream())
                .toList();
    }

    // Commands

    /**
     * Subscribes to new revisions.
     * @param listener runs when a revision has come into force here
     */
    public void onInForce(Runnable listener) {
        inForceListeners.add(listener);
    }

    /**
     * Publishes a template.
     * @param template the template
     * @param expectedRevision revision of the team that it replaces; 0 for a new team
     * @param onAnswer receives the truthful answer
     */
    public void publish(Template template, long expectedRevision, Consumer<Publication> onAnswer) {
        timeline.record(EventKind.CONFIGURATION_PROPOSED, "team", template.team(), "what", "template");
        update(template.team(), current -> publishOver(template, expectedRevision, current), onAnswer);
    }

    /**
     * Counts a member's vote.
     * @param vote the vote
     * @param onAnswer receives the truthful answer
     */
    public void vote(Vote vote, Consumer<Publication> onAnswer) {
        timeline.record(EventKind.CONFIGURATION_PROPOSED, "team", vote.team(), "what", "vote", "member", vote.member());
        update(vote.team(), current -> voteOver(vote, current), onAnswer);
    }

    /**
     * Hands over a document to another daemon.
     * @param request the request
     */
    public void onDocumentRequest(PeerMessage.DocumentRequest request) {
        for (Loaded l : loaded.values()) {
            if (l.key().equals(request.key())) {
                peers.send(
                        request.replyTo(),
                        new PeerMessage.DocumentReply(request.key(), l.bucket().teams()));
            }
        }
    }

    /**
     * Takes a document from another daemon.
     * @param reply the document
     */
    public void onDocumentReply(PeerMessage.DocumentReply reply) {
        install(reply.key(), new Bucket(reply.teams()));
    }

    // Helpers

    private static TeamDocument publishOver(Template template, long expectedRevision, @Nullable TeamDocument current) {
        long revision = current == null ? 0 : current.revision();
        if (revision != expectedRevision) {
            throw ConfigurationException.of(
                    Code.REVISION_CONFLICT,
                    "template \"" + template.team() + "\" replaces revision " + expectedRevision + " but " + revision
                            + " is current");
        }
        return current == null ? TeamDocument.of(template) : current.publish(template);
    }

    private static TeamDocument voteOver(Vote vote, @Nullable TeamDocument current) {
        if (current == null) {
            throw ConfigurationException.of(Code.UNKNOWN_TEAM, "no template for team \"" + vote.team() + "\"");
        }
        return current.vote(vote);
    }

    private Bucket bucket(String name) {
        Loaded l = loaded.get(name);
        return l == null ? Bucket.EMPTY : l.bucket();
    }

    private void update(
            String team, Function<@Nullable TeamDocument, TeamDocument> change, Consumer<Publication> onAnswer) {
        new Update(team, change, onAnswer).run();
    }

    private void awaitAccepted(String key, long deadline, Consumer<Publication> onAnswer) {
        long revision = membership.head().revision();
        if (membership.headAccepted()) {
            timeline.record(EventKind.CONFIGURATION_ACCEPTED, "revision", revision, "document", key);
            onAnswer.accept(new Publication(
                    State.ACCEPTED, revision, "in force everywhere within " + Membership.QUORUM_LEASE_MS + " ms"));
        } else if (timers.nowMillis() >= deadline) {
            onAnswer.accept(new Publication(State.UNKNOWN, revision, "stored, not yet confirmed by the witnesses"));
        } else {
            timers.after(POLL_MS, () -> awaitAccepted(key, deadline, onAnswer));
        }
    }

    private void onHead(Head head) {
        head.buckets().forEach((name, key) -> {
            Bucket written = writtenHere.remove(key);
            if (written != null) {
                put(name, key, written);
            } else if (!isLoaded(name, key) && fetching.add(key)) {
                fetch(key);
            }
        });
        refreshRevision();
    }

    private boolean isLoaded(String bucketName, String key) {
        Loaded l = loaded.get(bucketName);
        return l != null && l.key().equals(key);
    }

    private void fetch(String key) {
        if (!isCurrent(key)) {
            fetching.remove(key);
            return;
        }
        List<Member> witnesses = membership.head().witnesses();
        fetches++;
        if (fetches % 2 == 1 && !witnesses.isEmpty()) {
            Member witness = witnesses.get((fetches / 2) % witnesses.size());
            peers.send(
                    witness.peerAddress(),
                    new PeerMessage.DocumentRequest(membership.self().peerAddress(), key));
        } else {
            store.read(key, Bucket.class, v -> installRead(key, v.value()), () -> {});
        }
        timers.after(FETCH_RETRY_MS, () -> {
            if (fetching.contains(key)) {
                fetch(key);
            }
        });
    }

    private void installRead(String key, @Nullable Bucket bucket) {
        if (bucket != null) {
            install(key, bucket);
        }
    }

    private void install(String key, Bucket bucket) {
        if (isCurrent(key)) {
            put(bucketName(key), key, bucket);
            fetching.remove(key);
            refreshRevision();
        }
    }

    private void put(String bucketName, String key, Bucket bucket) {
        bucket(bucketName)
                .teams()
                .values()
                .forEach(d -> teamOfCredential.remove(d.template().credentialSha256()));
        loaded.put(bucketName, new Loaded(key, bucket));
        bucket.teams().forEach((team, d) -> teamOfCredential.put(d.template().credentialSha256(), team));
    }

    private boolean isCurrent(String key) {
        return key.equals(membership.head().buckets().get(bucketName(key)));
    }

    private static String bucketName(String key) {
        int start = KEY_PREFIX.length();
        return key.substring(start, key.indexOf('/', start));
    }

    private void refreshRevision() {
        Head head = membership.head();
        boolean all = head.buckets().entrySet().stream().allMatch(e -> isLoaded(e.getKey(), e.getValue()));
        if (all && head.revision() > revisionInForce) {
            revisionInForce = head.revision();
            timeline.record(EventKind.CONFIGURATION_IN_FORCE, "revision", revisionInForce);
            inForceListeners.forEach(Runnable::run);
        }
    }

    /** One change of a team, tried again while other teams of its bucket change first. */
    private final class Update {
        private final String team;
        private final Function<@Nullable TeamDocument, TeamDocument> change;
        private final Consumer<Publication> onAnswer;
        private final String bucketName;
        private final long deadline = timers.nowMillis() + ACCEPT_TIMEOUT_MS;

        Update(String team, Function<@Nullable TeamDocument, TeamDocument> change, Consumer<Publication> onAnswer) {
            this.team = team;
            this.change = change;
            this.onAnswer = onAnswer;
            this.bucketName = Bucket.of(team);
        }

        void run() {
            if (!membership.isActive()) {
                retryOr(State.UNAVAILABLE, "this daemon is not in standing; nothing was stored");
                return;
            }
            try {
                Bucket current = bucket(bucketName);
                Bucket next = current.with(change.apply(current.team(team).orElse(null)));
                write(membership.head().buckets().getOrDefault(bucketName, ""), next);
            } catch (ConfigurationException e) {
                State state = e.code() == Code.REVISION_CONFLICT ? State.CONFLICT : State.REJECTED;
                answer(state, String.valueOf(e.getMessage()));
            }
        }

        private void write(String base, Bucket next) {
            String key = KEY_PREFIX + bucketName + "/" + marks.get();
            store.compareAndSet(key, 0, next, result -> {
                if (result.outcome() == WriteOutcome.WRITTEN) {
                    point(base, key, next);
                } else {
                    retryOr(State.UNAVAILABLE, "the platform's service did not take the write; nothing is in force");
                }
            });
        }

        /** Points the head at a stored document, unless the bucket has changed since it was read. */
        private void point(String base, String key, Bucket next) {
            writtenHere.put(key, next);
            membership.change(
                    head -> head.buckets().getOrDefault(bucketName, "").equals(base)
                            ? head.withDocument(bucketName, key)
                            : null,
                    outcome -> onPointed(outcome, key));
        }

        private void onPointed(ChangeOutcome outcome, String key) {
            if (outcome == ChangeOutcome.STORED) {
                awaitAccepted(key, deadline, onAnswer);
                return;
            }
            writtenHere.remove(key);
            switch (outcome) {
                case CONFLICT -> retryOr(State.CONFLICT, "another change came first; nothing was stored");
                case UNKNOWN -> answer(State.UNKNOWN, "the write may have taken effect; ask for the status");
                default -> answer(State.UNAVAILABLE, "the platform's service did not answer; nothing was stored");
            }
        }

        private void retryOr(State state, String detail) {
            if (timers.nowMillis() < deadline) {
                timers.after(POLL_MS, this::run);
            } else {
                answer(state, detail);
            }
        }

        private void answer(State state, String detail) {
            onAnswer.accept(new Publication(state, 0, detail));
        }
    }
}
