package ringspindle.routing;

import jakarta.json.JsonArray;
import jakarta.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import ringspindle.config.ConfigError;
import ringspindle.config.FleetConfig;

/** Validates the names in serving rules against the fleet configuration and the known regions. */
public final class ServingRulesValidator {
    private final List<ConfigError> errors = new ArrayList<>();
    private final FleetConfig configuration;
    private final Set<String> regions;

    private ServingRulesValidator(FleetConfig configuration, Set<String> regions) {
        this.configuration = configuration;
        this.regions = regions;
    }

    /**
     * Returns the errors in rule order, empty if there are none.
     *
     * @param configuration source of routes and models; if null, as before the first configuration, neither is checked
     * @param regions existing regions; if empty, as while they are unknown, regions are not checked
     */
    public static List<ConfigError> validate(ServingRules rules, FleetConfig configuration, Set<String> regions) {
        ServingRulesValidator validator = new ServingRulesValidator(configuration, regions);
        List<ServingRule> all = rules.all();
        for (int i = 0; i < all.size(); i++) {
            boolean isDefault = i == all.size() - 1;
            validator.checkRule(all.get(i), isDefault ? "default" : "rules[" + i + "]");
        }
        return validator.errors;
    }

    private void checkRule(ServingRule rule, String path) {
        FleetConfig.Route route = null;
        if (configuration != null) {
            route = findRoute(rule.match().route());
            if (route == null && !rule.match().route().isEmpty()) {
                errors.add(new ConfigError.UnknownName(
                        path + ".match.route", rule.match().route()));
            }
            String model = rule.match().model();
            if (!model.isEmpty() && !modelNames().contains(model)) {
                errors.add(new ConfigError.UnknownName(path + ".match.model", model));
            }
        }
        checkTargets(path + ".busy", rule.whenBusy(), route);
        checkTargets(path + ".gone", rule.whenUnavailable(), route);
    }

    private void checkTargets(String path, List<FallbackTarget> targets, FleetConfig.Route route) {
        for (int i = 0; i < targets.size(); i++) {
            for (String region : targets.get(i).regions()) {
                checkRegion(path + "[" + i + "].names", region, route);
            }
        }
    }

    private void checkRegion(String path, String region, FleetConfig.Route route) {
        if (!regions.isEmpty() && !regions.contains(region)) {
            errors.add(new ConfigError.UnknownName(path, region));
            return;
        }
        if (route != null && !route.allowedRegions().allows(region)) {
            errors.add(new ConfigError.OutsideHomes(path, region));
        }
    }

    private FleetConfig.Route findRoute(String name) {
        return configuration.routes().stream()
                .filter(route -> route.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    private Set<String> modelNames() {
        Set<String> models = new TreeSet<>();
        JsonArray services = configuration.source().getJsonArray("services");
        if (services == null) {
            return models;
        }
        for (JsonObject service : services.getValuesAs(JsonObject.class)) {
            if (service.get("engine") instanceof JsonObject engine
                    && engine.get("models") instanceof JsonArray listed) {
                listed.getValuesAs(JsonObject.class).forEach(model -> models.add(model.getString("name", "")));
            }
        }
        return models;
    }
}
