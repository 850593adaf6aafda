package ringspindle.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Generates valid and invalid serving rules documents from a seed. */
final class RandomRulesDocument {
    private final Random random;

    RandomRulesDocument(long seed) {
        random = new Random(seed);
    }

    /** Returns the next document; about one in sixty values is invalid. */
    String next() {
        List<String> fields = new ArrayList<>();
        addField(fields, 95, "revision", validOrInvalid("3", "\"1\"", "0", "1.5", "1e30", "null"));
        List<String> rules = new ArrayList<>();
        for (int i = random.nextInt(4); i > 0; i--) {
            rules.add(drawInvalid() ? "7" : rule(i));
        }
        addField(fields, 90, "rules", validOrInvalid("[" + String.join(",", rules) + "]", "{}", "\"x\""));
        addField(fields, 80, "default", validOrInvalid("{" + String.join(",", ruleBody()) + "}", "[]", "3"));
        addUnknownField(fields);
        return "{" + String.join(",", fields) + "}";
    }

    private boolean drawInvalid() {
        return random.nextInt(60) == 0;
    }

    private String validOrInvalid(String valid, String... invalid) {
        return drawInvalid() ? invalid[random.nextInt(invalid.length)] : valid;
    }

    private String oneOf(String... values) {
        return values[random.nextInt(values.length)];
    }

    private void addField(List<String> fields, int percent, String name, String value) {
        if (random.nextInt(100) < percent) {
            fields.add("\"" + name + "\":" + value);
        }
    }

    private void addUnknownField(List<String> fields) {
        if (drawInvalid()) {
            fields.add("\"surplus\":1");
        }
    }

    private String rule(int number) {
        List<String> fields = ruleBody();
        addField(
                fields,
                98,
                "name",
                validOrInvalid("\"rule-" + number + "\"", "\"plain\"", "\"\"", "5", "\"" + "n".repeat(61) + "\""));
        addField(fields, 90, "match", validOrInvalid(match(), "\"all\"", "[]"));
        return "{" + String.join(",", fields) + "}";
    }

    private List<String> ruleBody() {
        List<String> fields = new ArrayList<>();
        addField(fields, 70, "class", validOrInvalid(requestClass(), "\"fast\""));
        addField(fields, 50, "affinity", validOrInvalid(affinity(), "true"));
        addField(fields, 40, "busy", validOrInvalid(fallbacks(), "{}"));
        addField(fields, 40, "gone", validOrInvalid(fallbacks(), "\"any\""));
        addUnknownField(fields);
        return fields;
    }

    private String match() {
        List<String> fields = new ArrayList<>();
        addField(fields, 50, "route", validOrInvalid("\"" + oneOf("scrip", "other", "r-3") + "\"", "1"));
        addField(fields, 20, "host", validOrInvalid("\"" + oneOf("h", "H", "g") + "\"", "{}"));
        addField(fields, 30, "path", validOrInvalid("\"" + oneOf("/", "/s/", "/s/x") + "\"", "null"));
        addField(fields, 30, "model", validOrInvalid("\"" + oneOf("m", "q") + "\"", "false"));
        String prompt = "{\"from\":" + random.nextInt(6000) + ",\"to\":" + (5800 + random.nextInt(9000)) + "}";
        addField(fields, 40, "prompt", validOrInvalid(prompt, "5", "{\"from\":-1}", "{\"to\":\"x\"}", "{\"until\":4}"));
        addField(fields, 20, "home", validOrInvalid(oneOf("true", "false"), "\"yes\"", "1"));
        addUnknownField(fields);
        return "{" + String.join(",", fields) + "}";
    }

    private String requestClass() {
        List<String> fields = new ArrayList<>();
        addField(fields, 50, "rank", validOrInvalid("" + random.nextInt(10), "10", "-1", "2.5"));
        addField(fields, 50, "share", validOrInvalid(oneOf("0.1", "0.25", "0.4", "0"), "1.5", "-0.1", "\"half\""));
        addField(fields, 80, "waitMs", validOrInvalid("" + random.nextInt(3000), "30001", "-5", "[]"));
        addUnknownField(fields);
        return "{" + String.join(",", fields) + "}";
    }

    private String affinity() {
        List<String> fields = new ArrayList<>();
        addField(fields, 98, "by", validOrInvalid("\"" + oneOf("prompt", "session", "none") + "\"", "\"moon\"", "4"));
        addField(fields, 50, "parts", validOrInvalid("" + (1 + random.nextInt(64)), "0", "65"));
        addField(fields, 50, "tokens", validOrInvalid("" + (1 + random.nextInt(9000)), "0", "1e9"));
        addField(fields, 50, "uneven", validOrInvalid(oneOf("1", "1.5", "2.25"), "0.5", "101"));
        addUnknownField(fields);
        return "{" + String.join(",", fields) + "}";
    }

    private String fallbacks() {
        List<String> targets = new ArrayList<>();
        for (int i = random.nextInt(3); i > 0; i--) {
            List<String> fields = new ArrayList<>();
            boolean namesRegions = random.nextInt(4) == 0;
            String scope = namesRegions ? "regions" : oneOf("next", "zone", "region", "any");
            addField(fields, 98, "to", validOrInvalid("\"" + scope + "\"", "\"moon\"", "7"));
            if (namesRegions) {
                addField(
                        fields,
                        98,
                        "names",
                        validOrInvalid("[\"ahd\",\"srt\"]", "[]", "[\"\"]", "[3]", "\"ahd\"", "[\"nowhere\"]"));
            }
            addField(fields, 30, "waitMs", validOrInvalid("" + random.nextInt(90), "30001", "\"1\""));
            addUnknownField(fields);
            targets.add(drawInvalid() ? "\"next\"" : "{" + String.join(",", fields) + "}");
        }
        return "[" + String.join(",", targets) + "]";
    }
}
