package ringspindle.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Documents of serving rules as an operator may get them right or wrong, drawn from a seed. */
final class RandomRulesDocument {
    private final Random random;

    RandomRulesDocument(long seed) {
        random = new Random(seed);
    }

    /** The next document; about one value in sixty is wrong. */
    String next() {
        List<String> fields = new ArrayList<>();
        field(fields, 95, "revision", value("3", "\"1\"", "0", "1.5", "1e30", "null"));
        List<String> rules = new ArrayList<>();
        for (int i = random.nextInt(4); i > 0; i--) {
            rules.add(wrong() ? "7" : rule(i));
        }
        field(fields, 90, "rules", value("[" + String.join(",", rules) + "]", "{}", "\"x\""));
        field(fields, 80, "default", value("{" + String.join(",", ruleBody()) + "}", "[]", "3"));
        unknown(fields);
        return "{" + String.join(",", fields) + "}";
    }

    private boolean wrong() {
        return random.nextInt(60) == 0;
    }

    private String value(String good, String... bad) {
        return wrong() ? bad[random.nextInt(bad.length)] : good;
    }

    private String oneOf(String... all) {
        return all[random.nextInt(all.length)];
    }

    private void field(List<String> fields, int percent, String name, String value) {
        if (random.nextInt(100) < percent) {
            fields.add("\"" + name + "\":" + value);
        }
    }

    private void unknown(List<String> fields) {
        if (wrong()) {
            fields.add("\"surplus\":1");
        }
    }

    private String rule(int i) {
        List<String> fields = ruleBody();
        field(fields, 98, "name", value("\"rule-" + i + "\"", "\"plain\"", "\"\"", "5", "\"" + "n".repeat(61) + "\""));
        field(fields, 90, "match", value(match(), "\"all\"", "[]"));
        return "{" + String.join(",", fields) + "}";
    }

    private List<String> ruleBody() {
        List<String> fields = new ArrayList<>();
        field(fields, 70, "class", value(classOfService(), "\"fast\""));
        field(fields, 50, "affinity", value(affinity(), "true"));
        field(fields, 40, "busy", value(fallbacks(), "{}"));
        field(fields, 40, "gone", value(fallbacks(), "\"any\""));
        unknown(fields);
        return fields;
    }

    private String match() {
        List<String> fields = new ArrayList<>();
        field(fields, 50, "route", value("\"" + oneOf("scrip", "other", "r-3") + "\"", "1"));
        field(fields, 20, "host", value("\"" + oneOf("h", "H", "g") + "\"", "{}"));
        field(fields, 30, "path", value("\"" + oneOf("/", "/s/", "/s/x") + "\"", "null"));
        field(fields, 30, "model", value("\"" + oneOf("m", "q") + "\"", "false"));
        String prompt = "{\"from\":" + random.nextInt(6000) + ",\"to\":" + (5800 + random.nextInt(9000)) + "}";
        field(fields, 40, "prompt", value(prompt, "5", "{\"from\":-1}", "{\"to\":\"x\"}", "{\"until\":4}"));
        field(fields, 20, "home", value(oneOf("true", "false"), "\"yes\"", "1"));
        unknown(fields);
        return "{" + String.join(",", fields) + "}";
    }

    private String classOfService() {
        List<String> fields = new ArrayList<>();
        field(fields, 50, "rank", value("" + random.nextInt(10), "10", "-1", "2.5"));
        field(fields, 50, "share", value(oneOf("0.1", "0.25", "0.4", "0"), "1.5", "-0.1", "\"half\""));
        field(fields, 80, "waitMs", value("" + random.nextInt(3000), "30001", "-5", "[]"));
        unknown(fields);
        return "{" + String.join(",", fields) + "}";
    }

    private String affinity() {
        List<String> fields = new ArrayList<>();
        field(fields, 98, "by", value("\"" + oneOf("prompt", "session", "none") + "\"", "\"moon\"", "4"));
        field(fields, 50, "parts", value("" + (1 + random.nextInt(64)), "0", "65"));
        field(fields, 50, "tokens", value("" + (1 + random.nextInt(9000)), "0", "1e9"));
        field(fields, 50, "uneven", value(oneOf("1", "1.5", "2.25"), "0.5", "101"));
        unknown(fields);
        return "{" + String.join(",", fields) + "}";
    }

    private String fallbacks() {
        List<String> targets = new ArrayList<>();
        for (int i = random.nextInt(3); i > 0; i--) {
            List<String> fields = new ArrayList<>();
            boolean named = random.nextInt(4) == 0;
            String to = named ? "regions" : oneOf("next", "zone", "region", "any");
            field(fields, 98, "to", value("\"" + to + "\"", "\"moon\"", "7"));
            if (named) {
                field(
                        fields,
                        98,
                        "names",
                        value("[\"ahd\",\"srt\"]", "[]", "[\"\"]", "[3]", "\"ahd\"", "[\"nowhere\"]"));
            }
            field(fields, 30, "waitMs", value("" + random.nextInt(90), "30001", "\"1\""));
            unknown(fields);
            targets.add(wrong() ? "\"next\"" : "{" + String.join(",", fields) + "}");
        }
        return "[" + String.join(",", targets) + "]";
    }
}
