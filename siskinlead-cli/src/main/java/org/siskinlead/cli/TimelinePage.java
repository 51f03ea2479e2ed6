package org.siskinlead.cli;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.siskinlead.core.timeline.TimelineEvent;

/** Renders events as a self-contained HTML page with one column per process. */
final class TimelinePage {
    private static final String STYLE = "body{font:13px sans-serif}table{border-collapse:collapse}"
            + "th,td{border:1px solid #ccc;padding:3px 6px;vertical-align:top}td.time{white-space:nowrap;color:#555}"
            + "b{color:#024}small{color:#555}";

    private TimelinePage() {}

    static String render(List<TimelineEvent> events) {
        TreeSet<String> processes =
                events.stream().map(TimelineEvent::process).collect(Collectors.toCollection(TreeSet::new));
        StringBuilder page = new StringBuilder("<!doctype html><meta charset=utf-8><title>timeline</title><style>")
                .append(STYLE)
                .append("</style><table><tr><th>time</th>");
        processes.forEach(process -> page.append("<th>").append(escape(process)).append("</th>"));
        page.append("</tr>\n");
        events.forEach(event -> appendRow(page, event, processes));
        return page.append("</table>\n").toString();
    }

    private static void appendRow(StringBuilder page, TimelineEvent event, Set<String> processes) {
        page.append("<tr><td class=time>")
                .append(Instant.ofEpochMilli(event.time().wallMillis()))
                .append('+')
                .append(event.time().counter())
                .append("</td>");
        for (String process : processes) {
            page.append("<td>");
            if (process.equals(event.process())) {
                page.append("<b>").append(event.kind()).append("</b> ").append(formatFields(event.fields()));
            }
            page.append("</td>");
        }
        page.append("</tr>\n");
    }

    private static String formatFields(Map<String, String> fields) {
        return fields.entrySet().stream()
                .map(f -> "<small>" + escape(f.getKey()) + "</small> " + escape(f.getValue()))
                .collect(Collectors.joining(" "));
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
