package hookweir.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ConfigReaderTest {
    private static final String GOOD = "{'listen':'127.0.0.1:1','discovery':'127.0.0.1:2','limits':{'sockets':99},"
        + "'settings':{'classes':[{'name':'a b','aim_us':7,'semantics':'read_like'}],'family_info':{'class_stretch':[2.5]},'me':3}}";

    private static Config read(String json, Map<String, String> env) throws Exception {
        return ConfigReader.of(new ObjectMapper().readTree(json.replace('\'', '"')), env);
    }

    @Test
    void nestedSettingsAreMapped() throws Exception {
        Config c = read(GOOD, Map.of("RELAY_LISTEN", "127.0.0.1:5"));
        assertEquals(5, c.listen().getPort());
        assertEquals(99, c.sockets());
        assertEquals("a_b", c.settings().classNames.get(0));
        assertEquals(7, c.settings().settings.classes.get(0).aimUs);
        assertEquals(2.5, c.settings().settings.classes.get(0).stretch);
        assertEquals(3, c.settings().settings.me);
        assertEquals(250_000, c.settings().dialTimeoutUs);
    }

    @Test
    void faultsNameTheirKey() {
        for (String[] fault : new String[][] {{"'127.0.0.1:1'", "'nowhere'", "listen"}, {"'127.0.0.1:2'", "'1.2.3.4:99999'", "discovery"},
            {"99", "5", "limits.sockets"}, {"'me':3", "'me':'x'", "me"}, {"read_like", "lively", "classes.0.semantics"}}) {
            BadSetting e = assertThrows(BadSetting.class, () -> read(GOOD.replace(fault[0], fault[1]), Map.of()));
            assertEquals(fault[2], e.key);
        }
    }
}
