package org.siskinlead.protocol.caller;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.siskinlead.protocol.json.Json;

class TemplateChangeTest {
    @Test
    void listsEveryMissingField() {
        TemplateChange change = read("{\"template\":{\"team\":\"x\",\"members\":[\"a\"]}}");

        assertThat(change.missingFields())
                .containsExactly(
                        "template.credentialSha256",
                        "template.models",
                        "template.services",
                        "template.repeatable",
                        "template.bounds");
    }

    @Test
    void listsAMapWithANullValueAsMissing() {
        TemplateChange change = read("{\"vote\":{\"team\":\"x\",\"member\":\"a\",\"templateRevision\":1,"
                + "\"values\":{\"PRIORITY\":null}}}");

        assertThat(change.missingFields()).containsExactly("vote.values");
    }

    @Test
    void listsNothingForACompleteVote() {
        TemplateChange change = read(
                "{\"vote\":{\"team\":\"x\",\"member\":\"a\",\"templateRevision\":1," + "\"values\":{\"PRIORITY\":3}}}");

        assertThat(change.missingFields()).isEmpty();
    }

    private static TemplateChange read(String json) {
        return Json.read(json.getBytes(StandardCharsets.UTF_8), TemplateChange.class);
    }
}
