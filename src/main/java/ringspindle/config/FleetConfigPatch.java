package ringspindle.config;

import static ringspindle.config.StrictJson.object;
import static ringspindle.config.StrictJson.objects;

import jakarta.json.Json;
import jakarta.json.JsonArray;
import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.JsonString;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Applies a patch to a configuration: a revision, and by list of the configuration the named items to replace or add
 * ({@code upserts}) and the names of those to remove ({@code removals}).
 */
final class FleetConfigPatch {
    private static final String REVISION = "revision";
    private static final String UPSERTS = "upserts";
    private static final String REMOVALS = "removals";
    private static final Set<String> FIELDS = Set.of(REVISION, UPSERTS, REMOVALS);

    private FleetConfigPatch() {}

    static Validated<FleetConfig> apply(JsonObject patch, JsonObject source) {
        try {
            return patched(patch, source);
        } catch (ClassCastException | NullPointerException malformed) {
            return Validated.refused(ConfigError.Unreadable.WRONG_FIELD);
        }
    }

    private static Validated<FleetConfig> patched(JsonObject patch, JsonObject source) {
        List<ConfigError> unknown = unknownFields(patch);
        if (!unknown.isEmpty()) {
            return new Validated.Invalid<>(unknown);
        }
        if (!(patch.get(REVISION) instanceof JsonNumber revision)) {
            return Validated.refused(new ConfigError.Missing(REVISION));
        }
        JsonObjectBuilder result = Json.createObjectBuilder(source).add(REVISION, revision);
        JsonObject upserts = object(patch, UPSERTS);
        JsonObject removals = object(patch, REMOVALS);
        Set<String> lists = new TreeSet<>(upserts.keySet());
        lists.addAll(removals.keySet());
        for (String list : lists) {
            if (upserts.get(list) instanceof JsonObject whole) {
                result.add(list, whole);
                continue;
            }
            JsonArray items = items(source, removals, upserts, list);
            String duplicate = duplicateName(upserts, list);
            if (duplicate != null) {
                return Validated.refused(new ConfigError.SameName(duplicate));
            }
            boolean adds = !items.isEmpty() || source.containsKey(list);
            if (adds) {
                // a patch that changes nothing in a list must not bring one where there was none: an empty one may mean
                // something
                result.add(list, items);
            }
        }
        return FleetConfigParser.parse(result.build());
    }

    /** A list that stands beside the upserts instead of in them would be passed over, and its change lost. */
    private static List<ConfigError> unknownFields(JsonObject patch) {
        List<ConfigError> unknown = new ArrayList<>();
        for (String field : patch.keySet()) {
            if (!FIELDS.contains(field)) {
                unknown.add(new ConfigError.UnknownField("", field));
            }
        }
        return unknown;
    }

    private static String duplicateName(JsonObject upserts, String list) {
        Set<String> names = new HashSet<>();
        for (JsonObject item : objects(upserts, list)) {
            if (!names.add(name(item))) {
                return name(item);
            }
        }
        return null;
    }

    /** The items of a list after the patch: those that stay in their order, replaced in place, new ones at the end. */
    private static JsonArray items(JsonObject source, JsonObject removals, JsonObject upserts, String list) {
        Map<String, JsonObject> items = new LinkedHashMap<>();
        objects(source, list).forEach(item -> items.put(name(item), item));
        if (removals.get(list) instanceof JsonArray removed) {
            removed.getValuesAs(JsonString.class).forEach(name -> items.remove(name.getString()));
        }
        objects(upserts, list).forEach(item -> items.put(name(item), item));
        JsonArrayBuilder array = Json.createArrayBuilder();
        items.values().forEach(array::add);
        return array.build();
    }

    private static String name(JsonObject item) {
        return item.getString("name");
    }
}
