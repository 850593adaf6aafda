package ringspindle.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import jakarta.json.JsonArray;
import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.spi.JsonProvider;
import java.util.ArrayList;
import java.util.List;
import ringspindle.api.Operation;
import ringspindle.quota.TenantLimit;

/**
 * {@code tenants [NAME ...]}: tenants of the configuration in force, with what each may have and what the head of the view grants of it.
 * Of keys only their number is shown.
 */
@Parameters(commandDescription = "tenants of the configuration in force: rank, homes, limits, number of keys")
final class TenantsCommand extends FleetCommand {
    private static final JsonProvider JSON = JsonProvider.provider();
    private static final String[] COLUMNS = {
        "name", "priority", "homeRegions", "keys", "ratePerS", "burstSize", "refillPerS", "bucketSize"
    };

    @Parameter(description = "[NAME ...]")
    private List<String> names = new ArrayList<>();

    @Override
    ExitCode run(ControlPlaneClient client, Console console) throws InterruptedException {
        return console.show(client.call(Operation.CONFIG_GET), false, configuration -> print(configuration, console));
    }

    private void print(JsonObject configuration, Console console) {
        JsonArray rows = rows(configuration.getJsonArray("tenants"));
        if (wantsJson()) {
            console.print(rows.toString());
        } else if (rows.isEmpty()) {
            console.print("no tenants");
        } else {
            console.printTable(rows, COLUMNS);
        }
    }

    private JsonArray rows(JsonArray tenants) {
        JsonArrayBuilder rows = JSON.createArrayBuilder();
        if (tenants != null) {
            tenants.getValuesAs(JsonObject.class).stream()
                    .filter(tenant -> names.isEmpty() || names.contains(tenant.getString("name", "")))
                    .forEach(tenant -> rows.add(row(tenant)));
        }
        return rows.build();
    }

    /** The row of a tenant; keys stay out of it. */
    private static JsonObjectBuilder row(JsonObject tenant) {
        JsonObjectBuilder row = JSON.createObjectBuilder().add("name", tenant.getString("name", ""));
        for (String field : List.of("priority", "homeRegions", "ratePerS", "burstSize")) {
            if (tenant.containsKey(field)) {
                row.add(field, tenant.get(field));
            }
        }
        JsonArray keys = tenant.getJsonArray("apiKeys");
        row.add("keys", keys == null ? 0 : keys.size());
        TenantLimit limit = new TenantLimit(number(tenant, "ratePerS"), number(tenant, "burstSize"));
        if (limit.ratePerS() > 0) {
            row.add("refillPerS", limit.refillPerS()).add("bucketSize", limit.bucketSize());
        }
        return row;
    }

    private static double number(JsonObject tenant, String field) {
        return tenant.get(field) instanceof JsonNumber number ? number.doubleValue() : 0;
    }
}
