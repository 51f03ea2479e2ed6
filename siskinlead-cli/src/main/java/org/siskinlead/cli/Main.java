package org.siskinlead.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.siskinlead.core.configuration.TeamDocument;
import org.siskinlead.protocol.caller.DaemonStatus;
import org.siskinlead.protocol.json.Json;

/** Entry point of {@code siskinleadctl}. */
public final class Main {
    private static final int HTTP_OK = 200;
    private static final List<String> EVENT_FILTERS = List.of("request", "team", "target", "revision", "kind");
    private static final String USAGE = """
            usage: siskinleadctl [flags] COMMAND
              apply FILE     publish a template or vote from a JSON file
              get [TEAM]     show templates, votes and values in force
              history        show configuration changes from the timeline
              status         show the state of a daemon
              timeline       show events of all daemons in causal order
              locate         show which entry VMs callers are sent to
              drain          drain the daemon named by --entry
            exit codes: 0 done, 1 unavailable, 2 wrong command line, 3 rejected, 4 conflict, 5 unknown, 6 no credential
            """;

    private final PrintStream out;
    private final PrintStream err;
    private final OptionParser parser = new OptionParser();
    private final OptionSpec<String> entry = parser.accepts(
                    "entry", "entry addresses of daemons; environment: SISKINLEAD_ENTRY")
            .withRequiredArg()
            .withValuesSeparatedBy(',');
    private final OptionSpec<String> token = parser.accepts(
                    "token", "operator credential; environment: SISKINLEAD_TOKEN")
            .withRequiredArg();

    private final OptionSpec<String> since =
            parser.accepts("since", "show only events from this time on").withRequiredArg();
    private final OptionSpec<String> until =
            parser.accepts("until", "show only events up to this time").withRequiredArg();

    private Main(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
        parser.accepts("json", "print JSON");
        parser.accepts("html", "print the timeline as an HTML page with one column per process");
        parser.accepts("help", "print this help");
        EVENT_FILTERS.forEach(
                f -> parser.accepts(f, "show only events of this " + f).withRequiredArg());
    }

    /**
     * Runs a command.
     * @param arguments command-line flags, command and its argument
     */
    public static void main(String[] arguments) {
        System.exit(
                new Main(System.out, System.err).run(arguments, System.getenv()).value());
    }

    private ExitCode run(String[] arguments, Map<String, String> environment) {
        try {
            return execute(parser.parse(arguments), environment);
        } catch (OptionException e) {
            err.println("siskinleadctl: " + e.getMessage());
            return ExitCode.USAGE_ERROR;
        } catch (CliException e) {
            err.println("siskinleadctl: " + e.getMessage());
            return e.exitCode();
        } catch (IOException e) {
            err.println("siskinleadctl: " + e);
            return ExitCode.UNAVAILABLE;
        }
    }

    private ExitCode execute(OptionSet options, Map<String, String> environment) throws IOException {
        if (options.has("help")) {
            out.print(USAGE);
            parser.printHelpOn(out);
            return ExitCode.OK;
        }
        List<String> positionalArguments =
                options.nonOptionArguments().stream().map(String::valueOf).toList();
        if (positionalArguments.isEmpty()) {
            err.print(USAGE);
            return ExitCode.USAGE_ERROR;
        }
        DaemonClient client = createClient(options, environment);
        boolean json = options.has("json");
        String argument = positionalArguments.size() > 1 ? positionalArguments.get(1) : "";
        return switch (positionalArguments.get(0)) {
            case "apply" -> apply(client, argument);
            case "get" -> get(client, argument, json);
            case "history" -> history(client, format(options));
            case "status" -> status(client, json);
            case "timeline" ->
                new TimelineCommand(client, out, err).run(filters(options), timeRange(options), format(options));
            case "locate" -> printResponse(client.get("/v1/entries"));
            case "drain" -> printResponse(client.post("/v1/operator/drain", new byte[0]));
            default ->
                throw CliException.of(
                        ExitCode.USAGE_ERROR, "unknown command \"" + positionalArguments.get(0) + "\"; try --help");
        };
    }

    private DaemonClient createClient(OptionSet options, Map<String, String> environment) {
        List<String> entryAddresses = options.has(entry)
                ? options.valuesOf(entry)
                : List.of(environment.getOrDefault("SISKINLEAD_ENTRY", "").split(","));
        String credential =
                options.has(token) ? options.valueOf(token) : environment.getOrDefault("SISKINLEAD_TOKEN", "");
        if (entryAddresses.isEmpty() || entryAddresses.get(0).isEmpty()) {
            throw CliException.of(ExitCode.USAGE_ERROR, "no entry address given; set --entry or SISKINLEAD_ENTRY");
        }
        return new DaemonClient(entryAddresses, credential);
    }

    private static Map<String, String> filters(OptionSet options) {
        Map<String, String> filters = new LinkedHashMap<>();
        for (String filter : EVENT_FILTERS) {
            if (options.has(filter)) {
                filters.put(filter, String.valueOf(options.valueOf(filter)));
            }
        }
        return filters;
    }

    @SuppressWarnings("SystemConsoleNull") // null on Java 17 unless input and output are a terminal
    private ExitCode apply(DaemonClient client, String file) throws IOException {
        if (file.isEmpty()) {
            throw CliException.of(ExitCode.USAGE_ERROR, "apply requires a file name");
        }
        if (System.console() != null) {
            err.println("waiting for the change to be accepted ...");
        }
        return printResponse(client.post("/v1/operator/changes", Files.readAllBytes(Path.of(file))));
    }

    private ExitCode get(DaemonClient client, String team, boolean json) {
        DaemonClient.Response response = client.get("/v1/operator/teams");
        if (response.status() != HTTP_OK) {
            return printResponse(response);
        }
        TeamDocument[] teams = Json.read(response.body().getBytes(StandardCharsets.UTF_8), TeamDocument[].class);
        boolean found = team.isEmpty();
        for (TeamDocument document : teams) {
            if (team.isEmpty() || document.template().team().equals(team)) {
                found = true;
                out.println(json ? Json.writeAsString(document) : formatLine(document));
            }
        }
        if (!found) {
            throw CliException.of(ExitCode.REJECTED, "no team named \"" + team + "\"");
        }
        return ExitCode.OK;
    }

    private static String formatLine(TeamDocument document) {
        return document.template().team() + " revision=" + document.revision() + " template="
                + document.templateRevision() + " in-force=" + document.accepted() + " votes=" + document.votes();
    }

    private TimelineCommand.TimeRange timeRange(OptionSet options) {
        return new TimelineCommand.TimeRange(
                parseInstant(options, since, Long.MIN_VALUE), parseInstant(options, until, Long.MAX_VALUE));
    }

    private static long parseInstant(OptionSet options, OptionSpec<String> option, long defaultMillis) {
        if (!options.has(option)) {
            return defaultMillis;
        }
        try {
            return Instant.parse(options.valueOf(option)).toEpochMilli();
        } catch (DateTimeParseException e) {
            throw CliException.of(
                    ExitCode.USAGE_ERROR,
                    "\"" + options.valueOf(option) + "\" is not an ISO 8601 time such as 2026-12-04T02:47:54Z",
                    e);
        }
    }

    private static TimelineCommand.Format format(OptionSet options) {
        if (options.has("html")) {
            return TimelineCommand.Format.HTML;
        }
        return options.has("json") ? TimelineCommand.Format.JSON : TimelineCommand.Format.TEXT;
    }

    private ExitCode history(DaemonClient client, TimelineCommand.Format format) {
        TimelineCommand timeline = new TimelineCommand(client, out, err);
        ExitCode proposed =
                timeline.run(Map.of("kind", "CONFIGURATION_PROPOSED"), TimelineCommand.TimeRange.ALL, format);
        ExitCode accepted =
                timeline.run(Map.of("kind", "CONFIGURATION_ACCEPTED"), TimelineCommand.TimeRange.ALL, format);
        return proposed == ExitCode.OK ? accepted : proposed;
    }

    private ExitCode status(DaemonClient client, boolean json) {
        DaemonClient.Response response = client.get("/v1/operator/status");
        if (response.status() != HTTP_OK || json) {
            return printResponse(response);
        }
        DaemonStatus status = Json.read(response.body().getBytes(StandardCharsets.UTF_8), DaemonStatus.class);
        out.println("vm=" + status.vm() + " data-centre=" + status.dataCentre() + " in-standing=" + status.inStanding()
                + " draining=" + status.draining());
        out.println("head=" + status.headVersion() + " revision=" + status.revision() + " members=" + status.members());
        out.println("targets=" + status.targets() + " suspected=" + status.suspected() + " bounds=" + status.bounds());
        out.println("counters=" + status.counters());
        return ExitCode.OK;
    }

    private ExitCode printResponse(DaemonClient.Response response) {
        PrintStream stream = response.status() < 300 ? out : err;
        stream.println(response.body());
        return ExitCode.ofHttpStatus(response.status());
    }
}
