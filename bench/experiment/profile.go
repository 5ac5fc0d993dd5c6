package experiment

import (
	"net/http"
	"time"

	"tanagerbarrow/bench/load"
)

// Profile describes one deployment and its load.
type Profile struct {
	// Name names the profile.
	Name string
	// Zones maps each availability zone to its region, and ZoneOrder lists them.
	Zones     map[string]string
	ZoneOrder []string
	// Services are the services and the numbers of their backend servers.
	Services []Service
	// Slots is the number of slots of each backend server.
	Slots int
	// ServiceTime is the time that a backend server takes for a request.
	ServiceTime time.Duration
	// Mix lists the kinds of requests that callers send.
	Mix []load.Kind
}

// Service describes one service of a profile.
type Service struct {
	// Name names the service.
	Name string
	// BackendServers is the number of its backend servers.
	BackendServers int
}

// Capacity returns the rate, in requests per second, at which the most heavily
// loaded service of the profile is saturated.
func (p *Profile) Capacity() float64 {
	total, capacity := 0.0, 0.0
	for _, k := range p.Mix {
		total += k.Weight
	}
	for _, s := range p.Services {
		share := 0.0
		for _, k := range p.Mix {
			if serviceOf(k.Path) == s.Name {
				share += k.Weight / total
			}
		}
		rate := float64(s.BackendServers*p.Slots) / p.ServiceTime.Seconds() / share
		if capacity == 0 || rate < capacity {
			capacity = rate
		}
	}
	return capacity
}

// serviceOf returns the service of a path, which is its first segment.
func serviceOf(path string) string {
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			return path[1:i]
		}
	}
	return path[1:]
}

// uploadBytes is the body size of an upload in the mix.
const uploadBytes = 256 << 10

// orderBytes is the body size of an order in the mix.
const orderBytes = 400

// Cowbell returns the profile of the cowbell venture's deployment.
func Cowbell() Profile {
	return Profile{
		Name: "cowbell",
		Zones: map[string]string{
			"arkhangai-a": "arkhangai", "arkhangai-b": "arkhangai", "khentii-a": "khentii",
			"khentii-b": "khentii", "umnugovi-a": "umnugovi", "umnugovi-b": "umnugovi",
		},
		ZoneOrder: []string{"arkhangai-a", "khentii-a", "umnugovi-a", "arkhangai-b", "khentii-b", "umnugovi-b"},
		Services:  []Service{{"catalogue", 24}, {"orders", 12}, {"engraving", 12}},
		Slots:     2, ServiceTime: 20 * time.Millisecond,
		Mix: []load.Kind{
			{Name: "read", Weight: 85, Method: http.MethodGet, Path: "/catalogue/bells", Account: "herders"},
			{Name: "order", Weight: 10, Method: http.MethodPost, Path: "/orders/castings", BodyBytes: orderBytes, HasIdempotencyKey: true, Account: "traders"},
			{Name: "upload", Weight: 5, Method: http.MethodPost, Path: "/engraving/brands", BodyBytes: uploadBytes, Account: "buyers"},
		},
	}
}

// QuirosMora returns the profile of the Quirós Mora family's deployment.
func QuirosMora() Profile {
	return Profile{
		Name: "quiros-mora",
		Zones: map[string]string{
			"valle-central-a": "valle-central", "valle-central-b": "valle-central", "guanacaste-a": "guanacaste",
			"guanacaste-b": "guanacaste", "caribe-a": "caribe", "caribe-b": "caribe",
		},
		ZoneOrder: []string{"valle-central-a", "guanacaste-a", "caribe-a", "valle-central-b", "guanacaste-b", "caribe-b"},
		Services:  []Service{{"inventory", 20}, {"payments", 12}, {"warranty", 12}},
		Slots:     4, ServiceTime: 30 * time.Millisecond,
		Mix: []load.Kind{
			{Name: "read", Weight: 85, Method: http.MethodGet, Path: "/inventory/drawers", Account: "shops"},
			{Name: "order", Weight: 10, Method: http.MethodPost, Path: "/payments/orders", BodyBytes: orderBytes, HasIdempotencyKey: true, Account: "chains"},
			{Name: "upload", Weight: 5, Method: http.MethodPost, Path: "/warranty/photos", BodyBytes: uploadBytes, Account: "pulperias"},
		},
	}
}
