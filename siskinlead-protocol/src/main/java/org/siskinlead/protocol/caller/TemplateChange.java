package org.siskinlead.protocol.caller;

import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.configuration.Template;
import org.siskinlead.core.configuration.Vote;

/**
 * Configuration change that an operator requests: either a template or a vote.
 * @param template template to publish, or null
 * @param expectedRevision revision of the team that the template replaces; 0 for a new team
 * @param vote vote to cast, or null
 */
public record TemplateChange(
        @Nullable Template template,
        long expectedRevision,
        @Nullable Vote vote) {
    /**
     * Lists the fields that the request lacks. A map with a null value counts as missing.
     * @return names of the fields, such as {@code template.members}
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
            throw new IllegalStateException("cannot read record component \"" + component.getName() + "\"", e);
        }
    }
}
