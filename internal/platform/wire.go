package platform

// Paths of the platform's HTTP protocol. Bodies and answers are JSON.
const (
	PathRow     = "/v1/table/row"      // GET ?key= -> Row
	PathRows    = "/v1/table/rows"     // GET ?prefix=&limit= -> RowsAnswer
	PathTxn     = "/v1/table/txn"      // POST Txn -> TxnAnswer
	PathObject  = "/v1/objects/object" // PUT Object; GET ?name= -> Object
	PathObjects = "/v1/objects"        // GET ?prefix= -> NamesAnswer
	PathVMs     = "/v1/vms"            // GET -> VMsAnswer
	PathReboot  = "/v1/vms/reboot"     // POST Reboot -> RebootAnswer; GET ?name=&id= -> RebootAnswer
)

const (
	// HeaderClient carries the client's name, "<data centre>/<entry VM>".
	HeaderClient = "X-Client"
	// HeaderNotApplied is "true" on a refusal that certainly had no effect. A refusal
	// without it, for example from a middlebox, leaves the outcome of a write unknown.
	HeaderNotApplied = "X-Not-Applied"
)

// ErrorCode says why the platform refused a request.
type ErrorCode string

const (
	CodeConflict      ErrorCode = "conflict"
	CodeObjectDiffers ErrorCode = "object_differs"
	CodeNotFound      ErrorCode = "not_found"
	CodeBadRequest    ErrorCode = "bad_request"
	CodeRateLimit     ErrorCode = "rate_limit"
	CodeOutage        ErrorCode = "outage"
)

// RowsAnswer answers a scan.
type RowsAnswer struct {
	Rows []Row `json:"rows"`
}

// TxnAnswer answers a transaction with the new version of each put row (0: deleted).
type TxnAnswer struct {
	Versions map[string]uint64 `json:"versions"`
}

// Object is one object with its name.
type Object struct {
	Name string `json:"name"`
	Data []byte `json:"data"`
}

// NamesAnswer lists object names.
type NamesAnswer struct {
	Names []string `json:"names"`
}

// VMsAnswer is the list of live and leaving VMs.
type VMsAnswer struct {
	VMs []ListedVM `json:"vms"`
}

// Reboot orders the reboot of a VM.
type Reboot struct {
	Name string `json:"name"`
	// ID makes repetitions of the order recognisable.
	ID string `json:"id"`
}

// RebootAnswer is the state of a reboot.
type RebootAnswer struct {
	State RebootState `json:"state"`
}

// ErrorAnswer is the body of every refusal.
type ErrorAnswer struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Rows are the current rows of the conditions that did not hold.
	Rows []Row `json:"rows,omitempty"`
}
