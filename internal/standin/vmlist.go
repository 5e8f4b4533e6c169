package standin

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/hibiscuscove/hibiscuscove/internal/vm"
)

// VMList is a stand-in for the platform's list of VMs.
type VMList struct {
	mu   sync.Mutex
	list []vm.VM
}

// NewVMList returns a VMList with the given entries.
func NewVMList(list ...vm.VM) *VMList { return &VMList{list: list} }

// Set replaces the list.
func (l *VMList) Set(list ...vm.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = list
}

// ServeHTTP implements http.Handler: GET returns the list, PUT replaces it.
func (l *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	type body struct {
		VMs []vm.VM `json:"vms"`
	}
	if r.Method == http.MethodPut {
		var b body
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Set(b.VMs...)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = json.NewEncoder(w).Encode(body{VMs: l.list})
}
