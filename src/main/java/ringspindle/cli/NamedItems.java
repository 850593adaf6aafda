package ringspindle.cli;

import jakarta.json.JsonArray;
import jakarta.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Compares lists of JSON objects that have names. */
final class NamedItems {
    private NamedItems() {}

    /**
     * The items that were added ({@code + name}), removed ({@code - name}) or changed ({@code ~ name}), by name.
     *
     * @param list the field that holds the items in both objects
     * @param label comes before each name, empty for none
     */
    static List<String> differences(JsonObject before, JsonObject after, String list, String label) {
        Map<String, JsonObject> old = byName(before, list);
        Map<String, JsonObject> changed = byName(after, list);
        Set<String> names = new TreeSet<>(old.keySet());
        names.addAll(changed.keySet());
        List<String> differences = new ArrayList<>();
        for (String name : names) {
            if (!old.containsKey(name)) {
                differences.add("+ " + label + name);
            } else if (!changed.containsKey(name)) {
                differences.add("- " + label + name);
            } else if (!old.get(name).equals(changed.get(name))) {
                differences.add("~ " + label + name);
            }
        }
        return differences;
    }

    /** The names in the order of the list, empty where an item has none. */
    static List<String> names(JsonObject document, String list) {
        return items(document, list).stream().map(NamedItems::name).toList();
    }

    private static Map<String, JsonObject> byName(JsonObject document, String list) {
        Map<String, JsonObject> byName = new TreeMap<>();
        items(document, list).forEach(item -> byName.put(name(item), item));
        return byName;
    }

    private static List<JsonObject> items(JsonObject document, String list) {
        return document.get(list) instanceof JsonArray array ? array.getValuesAs(JsonObject.class) : List.of();
    }

    private static String name(JsonObject item) {
        return item.getString("name", "");
    }
}
