//go:build scale

package beaconer_test

// Run them with: go test -tags scale -run CostByDomain -v ./beaconer
var costs = []cost{
	{300, 3, 268e3, 6e3, 627e3, false},
	{600, 7, 268e3, 6e3, 627e3, true},
}
