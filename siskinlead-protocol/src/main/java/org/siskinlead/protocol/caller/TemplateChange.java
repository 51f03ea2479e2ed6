package org.siskinlead.protocol.caller;

import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.configuration.Template;
import org.siskinlead.core.configuration.Vote;

/**
 * What an operator applies: a template or a vote.
 * @param template the template, if it is one
 * @param expectedRevision revision of the team that the template replaces; 0 for a new team
 * @param vote the vote, if it is one
 */
public record TemplateChange(
        @Nullable Template template,
        long expectedRevision,
        @Nullable Vote vote) {
    /**
     * Lists the fields that the operator left out.
     * @return names of fields, such as {@code template.members}
     */
    public List<String> missingFields() {
        List<String> missing = new ArrayList<>();
        if (template != null) {
            addMissing("template", template, missing);
        }
        if (vote != null) {
            addMissing("vote", vote, missing);
        }
        return missing;
    }

    private static void addMissing(String name, Record record, List<String> missing) {
        for (RecordComponent component : record.getClass().getRecordComponents()) {
            if (isMissing(component, record)) {
                missing.add(name + "." + component.getName());
            }
        }
    }

    private static boolean isMissing(RecordComponent component, Record record) {
        try {
            Object value = component.getAccessor().invoke(record);
            boolean hasNullValue = value instanceof Map<?, ?> map && map.containsValue(null);
            return value == null || hasNullValue;
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("records have readable components", e);
        }
    }
}
