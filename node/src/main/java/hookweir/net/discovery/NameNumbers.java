package hookweir.net.discovery;

import hookweir.config.ConfigReader;
import java.util.HashMap;
import java.util.Map;

/** Numbers of names: their places in the settings; a name that these lack gets the next number. */
final class NameNumbers {
    private final Map<String, Integer> numbers = new HashMap<>();

    NameNumbers(String[] names) {
        for (String name : names) {
            numbers.putIfAbsent(name, numbers.size());
        }
    }

    int numberOf(String name) {
        return numbers.computeIfAbsent(ConfigReader.toWireToken(name), k -> numbers.size());
    }
}
