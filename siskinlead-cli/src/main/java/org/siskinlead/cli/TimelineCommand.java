package org.siskinlead.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.siskinlead.core.membership.Member;
import org.siskinlead.core.timeline.TimelineEvent;
import org.siskinlead.protocol.caller.TimelineAnswer;
import org.siskinlead.protocol.json.Json;

/** Merges the timelines of all daemons in causal order. */
final class TimelineCommand {
    private static final int HTTP_OK = 200;

    enum Format {
        TEXT,
        JSON,
        HTML
    }

    /**
     * Time range of the events to show, both ends included.
     * @param fromMillis start in milliseconds since the Unix epoch
     * @param toMillis end in milliseconds since the Unix epoch
     */
    record TimeRange(long fromMillis, long toMillis) {
        static final TimeRange ALL = new TimeRange(Long.MIN_VALUE, Long.MAX_VALUE);

        boolean contains(long millis) {
            return fromMillis <= millis && millis <= toMillis;
        }
    }

    private final DaemonClient client;
    private final PrintStream out;
    private final PrintStream err;

    TimelineCommand(DaemonClient client, PrintStream out, PrintStream err) {
        this.client = client;
        this.out = out;
        this.err = err;
    }

    ExitCode run(Map<String, String> filters, TimeRange timeRange, Format format) {
        DaemonClient.Response membersResponse = client.get("/v1/operator/members");
        if (membersResponse.status() != HTTP_OK) {
            err.println(membersResponse.body());
            return ExitCode.ofHttpStatus(membersResponse.status());
        }
        String query = filters.entrySet().stream()
                .map(f -> f.getKey() + "=" + URLEncoder.encode(f.getValue(), StandardCharsets.UTF_8))
                .collect(Collectors.joining("&"));
        List<TimelineEvent> events = new ArrayList<>();
        boolean complete = true;
        for (Member member : Json.read(membersResponse.body().getBytes(StandardCharsets.UTF_8), Member[].class)) {
            complete &= collect(member, "/v1/operator/timeline?" + query, events);
        }
        events.sort(Comparator.comparing(TimelineEvent::time).thenComparing(TimelineEvent::process));
        events.removeIf(e -> !timeRange.contains(e.time().wallMillis()));
        print(events, format);
        return complete ? ExitCode.OK : ExitCode.UNAVAILABLE;
    }

    private void print(List<TimelineEvent> events, Format format) {
        switch (format) {
            case TEXT -> events.forEach(e -> out.println(formatLine(e)));
            case JSON -> events.forEach(e -> out.println(Json.writeAsString(e)));
            case HTML -> out.print(TimelinePage.render(events));
        }
    }

    private boolean collect(Member member, String path, List<TimelineEvent> events) {
        try {
            DaemonClient.Response response = client.getFrom(member.entryAddress(), path);
            if (response.status() != HTTP_OK) {
                err.println("daemon " + member.vm() + " responded with HTTP status " + response.status());
                return false;
            }
            TimelineAnswer timeline = Json.read(response.body().getBytes(StandardCharsets.UTF_8), TimelineAnswer.class);
            events.addAll(timeline.events());
            if (timeline.dropped() > 0) {
                err.println("daemon " + member.vm() + " has dropped its oldest " + timeline.dropped() + " events");
            }
            return true;
        } catch (IOException e) {
            err.println("daemon " + member.vm() + " did not respond: " + e.getMessage());
            return false;
        }
    }

    private static String formatLine(TimelineEvent event) {
        String fields = event.fields().entrySet().stream()
                .map(f -> f.getKey() + "=" + f.getValue())
                .collect(Collectors.joining(" "));
        return Instant.ofEpochMilli(event.time().wallMillis()) + "+"
                + event.time().counter() + " " + event.process() + " " + event.kind() + " " + fields;
    }
}
