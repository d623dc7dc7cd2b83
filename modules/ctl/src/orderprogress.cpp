#include "orderprogress.h"

#include <algorithm>

namespace godwit {

bool OrderProgress::hasFailed() const
{
    return orderState == "stopped" || orderState == "cancelled";
}

bool OrderProgress::isDone() const
{
    return hasFailed() || (ready == engines && orderState != "rolling");
}

OrderProgress parseOrderProgress(const ReplyTable &table)
{
    OrderProgress progress;
    const auto columnIndex = [&](const char *name) {
        return static_cast<std::size_t>(std::ranges::find(table.columns, name)
                                        - table.columns.begin());
    };
    const std::size_t ready = columnIndex("ready");
    const std::size_t orderState = columnIndex("order_state");
    progress.engines = table.rows.size();
    for (const auto &row : table.rows) {
        if (ready < row.size() && row[ready] == Cell(true))
            ++progress.ready;
        if (orderState < row.size() && std::holds_alternative<std::string>(row[orderState]))
            progress.orderState = std::get<std::string>(row[orderState]);
    }
    return progress;
}

} // namespace godwit
