package ringspindle.config;

import static java.nio.charset.StandardCharsets.UTF_8;

import jakarta.json.Json;
import jakarta.json.JsonArray;
import jakarta.json.JsonConfig;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonReader;
import jakarta.json.JsonReaderFactory;
import jakarta.json.JsonValue;
import java.io.ByteArrayInputStream;
import java.io.InputStreamReader;
import java.util.List;
import java.util.Map;
import ringspindle.config.Validated.Valid;

/** Reads JSON objects and their fields; duplicate keys and values of a wrong type are errors. */
final class StrictJson {
    private static final JsonReaderFactory READERS =
            Json.createReaderFactory(Map.of(JsonConfig.KEY_STRATEGY, JsonConfig.KeyStrategy.NONE));

    private StrictJson() {}

    static Validated<JsonObject> read(byte[] body) {
        try (JsonReader reader = READERS.createReader(new InputStreamReader(new ByteArrayInputStream(body), UTF_8))) {
            return new Valid<>(reader.readObject());
        } catch (RuntimeException malformed) {
            return Validated.refused(new ConfigError.Unreadable(
                    "not a whole JSON object: " + malformed.getClass().getSimpleName()));
        }
    }

    /** The objects of a list, none if there is no such list. */
    static List<JsonObject> objects(JsonObject json, String key) {
        JsonArray array = json.getJsonArray(key);
        return array == null ? List.of() : array.getValuesAs(JsonObject.class);
    }

    /** An object, empty if there is none. */
    static JsonObject object(JsonObject json, String key) {
        return json.get(key) instanceof JsonObject object ? object : JsonValue.EMPTY_JSON_OBJECT;
    }

    /**
     * A number, {@code otherwise} if it is missing or null.
     *
     * @throws ClassCastException if it is no number
     */
    static double number(JsonObject json, String key, double otherwise) {
        JsonValue value = json.get(key);
        return value == null || value == JsonValue.NULL ? otherwise : ((JsonNumber) value).doubleValue();
    }

    /** As {@link #number}, without a fraction. */
    static int integer(JsonObject json, String key, int otherwise) {
        return (int) number(json, key, otherwise);
    }
}
