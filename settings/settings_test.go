package settings_test

import (
	"os"
	"testing"

	"ivyridge/settings"
)

func FuzzParse(f *testing.F) {
	data, err := os.ReadFile("../demo/huurtoets/settings.template.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("limits: {max_time: 9h}\nlisten: 3\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse("f", data)
		if (s == nil) == (err == nil) {
			t.Errorf("got settings %v and error %v, want one of them", s, err)
		}
	})
}
